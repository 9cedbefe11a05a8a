/** HTML source text, inserted into a page without escaping. */
export class Markup {
  constructor(readonly text: string) {}
}

/** Value that can be interpolated into an [[html]] template. */
export type Content =
  Markup | string | number | undefined | false | readonly Content[];

const ESCAPES: Record<string, string> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Escapes text for element content and quoted attributes. */
export function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, character => ESCAPES[character] ?? '');
}

/**
 * Builds markup from a template. Strings are escaped, numbers and markup are
 * inserted unchanged, arrays are rendered item by item without a separator, and
 * undefined and false render as nothing.
 */
export function html(
  strings: TemplateStringsArray,
  ...values: Content[]
): Markup {
  const parts = strings.map((text, index) => {
    return index === 0 ? text : render(values[index - 1]) + text;
  });
  return new Markup(parts.join(''));
}

function render(content: Content): string {
  if (content === undefined || content === false) return '';
  if (content instanceof Markup) return content.text;
  if (typeof content === 'string') return escapeHtml(content);
  if (typeof content === 'number') return String(content);
  return content.map(render).join('');
}
