import type {Session} from './authenticator.js';
import {html, Markup, type Content} from '../markup/index.js';

/** Name of the form field that carries the session's token. */
export const FORM_TOKEN_FIELD = 'form-token';

const PAGES = [
  ['/console', 'Overview'],
  ['/console/edit/classes', 'Classes'],
  ['/console/edit/workspaces', 'Workspaces'],
  ['/console/edit/pools', 'Pools'],
  ['/console/edit/places', 'Places'],
  ['/console/burn', 'Burn'],
  ['/console/fleet', 'Fleet'],
  ['/console/explain', 'Explain'],
] as const;

/** Lays a page of a signed-in operator out. */
export function layout(
  title: string,
  path: string,
  session: Session,
  body: Content,
): Markup {
  const links = PAGES.map(([target, name]) => {
    const current = path === target && new Markup(' aria-current="page"');
    return html`<li><a href="${target}" ${current}>${name}</a></li>`;
  });
  return frame(
    title,
    html`<a class="skip" href="#main">Skip to content</a>
      <header>
        <p class="product">gypsumcourse</p>
        <nav aria-label="Console">
          <ul>
            ${links}
          </ul>
        </nav>
        <form method="post" action="/console/sign-out">
          ${formTokenField(session)}
          <button class="quiet">Sign out</button>
        </form>
      </header>
      <main id="main">
        <h1>${title}</h1>
        ${body}
      </main>`,
  );
}

/** The hidden field that proves that a form came from the session's page. */
export function formTokenField(session: Session): Markup {
  return html`<input
    type="hidden"
    name="${FORM_TOKEN_FIELD}"
    value="${session.formToken}"
  />`;
}

/** The page at which operators sign in. */
export function signInPage(problem?: string): Markup {
  const notice =
    problem !== undefined &&
    html`<p class="notice bad" role="alert" id="problem">${problem}</p>`;
  return frame(
    'Sign in',
    html`<main id="main" class="narrow">
      <h1>gypsumcourse</h1>
      ${notice}
      <form method="post" action="/console/sign-in">
        <p>
          <label for="secret">Operator secret</label>
          <input
            id="secret"
            name="secret"
            type="password"
            autocomplete="current-password"
            required
            autofocus
          />
        </p>
        <p><button>Sign in</button></p>
      </form>
    </main>`,
  );
}

function frame(title: string, body: Markup): Markup {
  return html`<!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width, initial-scale=1" />
        <title>${title} · gypsumcourse</title>
        <link rel="stylesheet" href="/console/style.css" />
      </head>
      <body>
        ${body}
      </body>
    </html>`;
}
