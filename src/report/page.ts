import type {BurnReport} from './burn.js';
/** p */
export function burnPage(report: BurnReport): string {
  return JSON.stringify(report);
}
