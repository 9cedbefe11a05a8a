/**
 * Vitest reporter that prints the numbers of passed and failed tests as a
 * closing line, and writes the result of each test to results/tests.json, which
 * verdict.mjs reads.
 */
import {mkdirSync, writeFileSync} from 'node:fs';

export default class Tally {
  onTestRunEnd(modules, unhandledErrors, reason) {
    const tests = [];
    const errors = unhandledErrors.map(error => error.message);
    for (const module of modules) {
      const file = module.relativeModuleId;
      // Errors of a file or a hook are not part of any test's result.
      for (const part of [module, ...module.children.allSuites()]) {
        for (const error of part.errors()) {
          errors.push(`${file}: ${error.message}`);
        }
      }
      for (const test of module.children.allTests()) {
        const {state} = test.result();
        tests.push({file, name: test.fullName, state});
      }
    }
    mkdirSync('results', {recursive: true});
    writeFileSync(
      'results/tests.json',
      JSON.stringify({reason, tests, errors}, null, 2),
    );
    const count = state => tests.filter(test => test.state === state).length;
    console.log(`${count('passed')} passed, ${count('failed')} failed`);
  }
}
