import {readFileSync} from 'node:fs';
import {
  parseLog,
  routeStatistics,
  requestHistory,
  type LogLine,
} from '../report/index.js';
import {ExitCode, exitWithError} from './exit.js';

/** Reads logs of several instances; what can't be read is told. */
function readLogs(files: readonly string[]): LogLine[] {
  return files.flatMap(file => {
    const {lines, unreadable} = parseLog(readText(file), file);
    if (unreadable > 0) {
      process.stderr.write(
        `gypsumcourse: skipped ${unreadable} unreadable lines of ${file}\n`,
      );
    }
    return lines;
  });
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    exitWithError(ExitCode.Usage, `cannot read ${file}: ${String(cause)}`);
  }
}

/** Prints what logs tell of a request, over all instances that met it. */
export function explainFromLogs(
  request: string,
  files: readonly string[],
  json: boolean,
): ExitCode {
  const story = requestHistory(request, readLogs(files));
  if (json) process.stdout.write(`${JSON.stringify(story)}\n`);
  else {
    const ending = story.ending ?? 'not known: the logs do not tell its end';
    const lines = [
      `Request ${request}`,
      ...story.sentences,
      `Ended: ${ending}`,
    ];
    process.stdout.write(`${lines.join('\n')}\n`);
  }
  return story.sentences.length > 0 ? ExitCode.Success : ExitCode.Failure;
}

/** Prints how requests ended, by route. */
export function reportLogs(files: readonly string[], json: boolean): ExitCode {
  const routes = routeStatistics(readLogs(files));
  if (json) process.stdout.write(`${JSON.stringify(routes)}\n`);
  else {
    for (const {
      route,
      requests,
      attained,
      medianMs,
      p99Ms,
      endings,
    } of routes) {
      const percent = (attained * 100).toFixed(1);
      process.stdout.write(
        `${route}: ${requests} requests, ${percent} % on time, ` +
          `median ${medianMs} ms, p99 ${p99Ms} ms\n`,
      );
      for (const item of endings) {
        process.stdout.write(`  ${item.requests} ${item.ending}\n`);
      }
    }
  }
  return routes.length > 0 ? ExitCode.Success : ExitCode.Failure;
}
