/** Text that is safe to put into an HTML page as it stands. */
export class Markup {
  constructor(readonly text: string) {}
}

/** What a template of [[html]] may hold. */
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
 * Builds markup from a template. Strings and numbers are escaped, markup is
 * taken as it is, lists are joined, and undefined and false are left out.
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
