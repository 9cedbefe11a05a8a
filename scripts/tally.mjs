/** Prints the plain closing line with the counts of the run. */
export default class Tally {
  onTestRunEnd(modules) {
    let passed = 0;
    let failed = 0;
    for (const module of modules) {
      for (const test of module.children.allTests()) {
        if (test.result().state === 'passed') passed++;
        if (test.result().state === 'failed') failed++;
      }
    }
    console.log(`${passed} passed, ${failed} failed`);
  }
}
