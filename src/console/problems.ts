import type {Problem} from '../config/index.js';
import {html, type Markup} from '../markup/index.js';

/** Renders the validation problems of a document below a heading. */
export function problemList(
  heading: string,
  problems: readonly Problem[],
): Markup {
  return html`<div class="notice bad" role="alert">
    <p>${heading}</p>
    <ul>
      ${problems.map(
        ({path, reason}) => html`<li><code>${path}</code>: ${reason}</li>`,
      )}
    </ul>
  </div>`;
}
