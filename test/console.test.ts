import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../bench/caller.js';
import {Cluster} from '../bench/cluster.js';
import {Deployment, exampleOf} from '../bench/deployment.js';
import {changesBetween, mergeChanges} from '../src/console/diff.js';
import {setAt, valueAt, type Json} from '../src/console/json.js';
import {html} from '../src/markup/index.js';

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: 2,
  });
});

afterAll(() => cluster.stop());

/** A page as a browser without script would see it. */
interface Page {
  status: number;
  text: string;
  cookie?: string;
}

/** An operator's browser: keeps a cookie, fills in and sends forms. */
class Browser {
  cookie = '';

  constructor(readonly router: number) {}

  async open(path: string, form?: URLSearchParams): Promise<Page> {
    const base = cluster.routers[this.router]?.operatorUrl ?? '';
    const answer = await request(new URL(path, base), {
      method: form === undefined ? 'GET' : 'POST',
      headers: {
        cookie: this.cookie,
        'content-type': 'application/x-www-form-urlencoded',
      },
      ...(form === undefined ? {} : {body: form.toString()}),
    });
    const cookie = answer.headers['set-cookie'];
    if (typeof cookie === 'string') this.cookie = cookie.split(';')[0] ?? '';
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
      text,
      ...(typeof cookie === 'string' ? {cookie} : {}),
    };
  }

  async signIn(): Promise<Page> {
    const form = new URLSearchParams({secret: Cluster.operatorSecret});
    return this.open('/console/sign-in', form);
  }
}

const unescape = (text: string) =>
  text
    .replaceAll('&lt;', '<')
    .replaceAll('&gt;', '>')
    .replaceAll('&quot;', '"')
    .replaceAll('&#39;', "'")
    .replaceAll('&amp;', '&');

/** The values that a browser would send with the editor's form. */
function formOf({text}: Page): URLSearchParams {
  const form = new URLSearchParams();
  for (const [input] of text.matchAll(/<input\b[^>]*>/g)) {
    const attribute = (name: string) =>
      unescape(new RegExp(`\\s${name}="([^"]*)"`).exec(input)?.[1] ?? '');
    const isOff =
      attribute('type') === 'checkbox' && !/\schecked\b/.test(input);
    if (!isOff) form.append(attribute('name'), attribute('value'));
  }
  const selects = text.matchAll(/<select[^>]*\sname="([^"]*)"[^]*?<\/select>/g);
  for (const [select, name = ''] of selects) {
    const chosen = /value="([^"]*)"\s+selected/.exec(select)?.[1];
    form.append(name, unescape(chosen ?? ''));
  }
  return form;
}

async function signedIn(router = 0): Promise<Browser> {
  const browser = new Browser(router);
  await browser.signIn();
  return browser;
}

async function edit(
  browser: Browser,
  section: string,
  values: Record<string, string>,
): Promise<Page> {
  const form = formOf(await browser.open(`/console/edit/${section}`));
  for (const [name, value] of Object.entries(values)) form.set(name, value);
  return browser.open(`/console/edit/${section}`, form);
}

describe('signing in', () => {
  it('needs the secret, and gives a cookie that scripts cannot read', async () => {
    const browser = new Browser(0);
    expect((await browser.open('/console')).status).toBe(303);
    const wrong = new URLSearchParams({secret: 'wrong'});
    expect((await browser.open('/console/sign-in', wrong)).status).toBe(403);
    const {status, cookie} = await browser.signIn();
    expect(status).toBe(303);
    expect(cookie?.replace(/=[^;]+/, '=…')).toMatchInlineSnapshot(
      `"gypsumcourse-session=…; Path=/; Max-Age=28800; HttpOnly; SameSite=Strict"`,
    );
    expect((await browser.open('/console')).status).toBe(200);
  });

  it('holds at every instance, and only with an untouched cookie', async () => {
    const browser = await signedIn(0);
    const other = new Browser(1);
    other.cookie = browser.cookie;
    expect((await other.open('/console')).status).toBe(200);
    other.cookie = browser.cookie.replace('=', '=9');
    expect((await other.open('/console')).status).toBe(303);
  });

  it('refuses forms that do not come from its own pages', async () => {
    const browser = await signedIn();
    const form = formOf(await browser.open('/console/edit/classes'));
    form.set('form-token', 'forged');
    const page = await browser.open('/console/edit/classes', form);
    expect(page.status).toBe(403);
    const publish = await browser.open('/console/publish', form);
    expect(publish.status).toBe(403);
  });
});

describe('the editor', () => {
  it('shows each error beside its field and keeps what was typed', async () => {
    const page = await edit(await signedIn(), 'classes', {
      'classes.0.tier': 'nine',
      'classes.1.name': '<b>"x"</b>',
      action: 'check',
    });
    expect(page.text).toMatch(/name="classes.0.tier"\s+value="nine"/);
    expect(page.text).toMatch(
      /id="classes.0.tier-problem">\s*Invalid input: expected number/,
    );
    expect(page.text).toContain('value="&lt;b&gt;&quot;x&quot;&lt;/b&gt;"');
    expect(page.text).not.toContain('<b>"x"');
    expect(page.text).not.toMatch(/<script|\sstyle=|\son[a-z]+=/);
  });

  it('adds, removes and moves between pages with the same draft', async () => {
    const browser = await signedIn();
    const added = await edit(browser, 'classes', {action: 'add:classes'});
    const form = formOf(added);
    form.set('classes.5.name', 'night-run');
    form.set('action', 'edit:workspaces');
    const moved = await browser.open('/console/edit/classes', form);
    expect(moved.text).toContain('Workspaces and keys');
    expect(moved.text).toContain('>night-run</label');
    const removal = formOf(moved);
    removal.set('action', 'remove:workspaces.0');
    const removed = await browser.open('/console/edit/workspaces', removal);
    expect(removed.text).not.toContain('workspace winding-line');
  });

  it('publishes after a view of the differences', async () => {
    const browser = await signedIn();
    const review = await edit(browser, 'classes', {
      'classes.0.targets.firstTokenMs': '350',
      action: 'review',
    });
    expect(review.text).toContain('classes.recipe-advice.targets.firstTokenMs');
    const published = await browser.open('/console/publish', formOf(review));
    expect(published.text).toContain('The change is in force as version');
    const after = await browser.open('/console/edit/classes');
    expect(after.text).toMatch(/firstTokenMs"\s+value="350"/);
  });

  it('makes a key that works, and shows it once only', async () => {
    const browser = await signedIn();
    const made = await edit(browser, 'workspaces', {
      action: 'key:workspaces.1',
    });
    const key = /id="new-key">([^<]+)</.exec(made.text)?.[1] ?? '';
    const form = formOf(made);
    form.set('action', 'review');
    const review = await browser.open('/console/edit/workspaces', form);
    expect(review.text).not.toContain(key);
    await browser.open('/console/publish', formOf(review));
    const reply = await call({
      url: cluster.routers[0]?.url ?? '',
      path: '/v1/chat/completions',
      key,
      body: {model: 'tube-7b', messages: [{role: 'user', content: 'Hi'}]},
    });
    expect(reply.outcome).toBe('completed');
  });

  it('shows both changes in a conflict, and loses neither', async () => {
    const [first, second] = [await signedIn(), await signedIn()];
    const mine = await edit(first, 'classes', {
      'classes.0.objective': '0.9',
      'classes.1.objective': '0.91',
      action: 'review',
    });
    const theirs = await edit(second, 'classes', {
      'classes.1.objective': '0.92',
      'classes.2.objective': '0.93',
      action: 'review',
    });
    await second.open('/console/publish', formOf(theirs));
    const conflict = await first.open('/console/publish', formOf(mine));
    expect(conflict.status).toBe(409);
    expect(conflict.text).toContain('Changed by both');
    const form = formOf(conflict);
    form.set('action', 'review');
    const merged = await first.open('/console/edit/classes', form);
    await first.open('/console/publish', formOf(merged));
    const page = await first.open('/console/edit/classes');
    const objectives = [0, 1, 2].map(
      n => formOf(page).get(`classes.${n}.objective`) ?? '',
    );
    expect(objectives).toEqual(['0.9', '0.91', '0.93']);
  });

  it('takes an upstream out of work', async () => {
    const browser = await signedIn();
    const form = formOf(await browser.open('/console/edit/pools'));
    form.append('pools.0.leaving', 'runner-1');
    form.set('action', 'review');
    const review = await browser.open('/console/edit/pools', form);
    await browser.open('/console/publish', formOf(review));
    const fleet = await browser.open('/console/fleet');
    expect(fleet.text).toMatch(/runner-1<\/td>[^]*?<td>no<\/td>/);
  });
});

describe('other pages', () => {
  it('show burn, fleet and explanations without script', async () => {
    const browser = await signedIn();
    const burn = await browser.open('/console/burn');
    expect(burn.text).toContain('recipe-advice');
    const fleet = await browser.open('/console/fleet');
    expect(fleet.text).toContain('router-2');
    const hostile = encodeURIComponent('<script>alert(1)</script>');
    const explained = await browser.open(`/console/explain?request=${hostile}`);
    expect(explained.text).toContain('No instance that answered remembers it');
    for (const {text} of [burn, fleet, explained]) {
      expect(text).not.toMatch(/<script|\sstyle=/);
    }
  });
});

describe('differences', () => {
  const origin: Json = {
    items: [
      {name: 'a', x: 1},
      {name: 'b', x: 2},
    ],
  };

  it('go by name, not by position', () => {
    const after: Json = {items: [{name: 'b', x: 3}, {name: 'c'}]};
    expect(changesBetween(origin, after)).toEqual([
      {path: 'items.a', before: {name: 'a', x: 1}},
      {path: 'items.b.x', before: 2, after: 3},
      {path: 'items.c', after: {name: 'c'}},
    ]);
  });

  it('merge into one document, and name what clashes', () => {
    const mine: Json = {items: [{name: 'a', x: 5}]};
    const theirs: Json = {
      items: [{name: 'a', x: 6}, {name: 'b', x: 2}, {name: 'c'}],
    };
    expect(mergeChanges(origin, mine, theirs)).toEqual({
      document: {items: [{name: 'a', x: 5}, {name: 'c'}]},
      clashes: [{path: 'items.a.x', mine: 5, theirs: 6}],
    });
  });

  it('never touch what objects inherit', () => {
    const document: Json = {};
    setAt(document, '__proto__.polluted', 'yes');
    expect(Reflect.get({}, 'polluted')).toBeUndefined();
    expect(valueAt(document, 'constructor')).toBeUndefined();
  });
});

describe('markup', () => {
  it('escapes text and keeps markup', () => {
    const inner = html`<b>${'<&"\'>'}</b>`;
    expect(html`<p title="${'"'}">${[inner, 1, false]}</p>`.text).toBe(
      '<p title="&quot;"><b>&lt;&amp;&quot;&#39;&gt;</b>1</p>',
    );
  });
});
