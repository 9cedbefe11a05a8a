/** The console's style sheet. */
export const STYLESHEET = `
:root { color-scheme: light; --ink: #1d2733; --muted: #5a6675; --line: #d5dbe3;
  --paper: #ffffff; --ground: #f4f6f8; --accent: #0b5cad; --good: #1b7f4b;
  --bad: #b3261e; --warn: #8a5a00; }
* { box-sizing: border-box; }
body { margin: 0; font: 16px/1.5 system-ui, sans-serif; color: var(--ink);
  background: var(--ground); }
a { color: var(--accent); }
:focus-visible { outline: 3px solid var(--accent); outline-offset: 2px; }
.skip { position: absolute; left: -999px; }
.skip:focus { left: 8px; top: 8px; background: var(--paper); padding: 8px; }
header { display: flex; flex-wrap: wrap; align-items: center; gap: 8px 24px;
  padding: 8px 24px; background: var(--paper);
  border-bottom: 1px solid var(--line); }
header .product { margin: 0; font-weight: 700; }
nav { flex: 1; }
nav ul { display: flex; flex-wrap: wrap; gap: 4px 16px; margin: 0; padding: 0;
  list-style: none; }
nav a { text-decoration: none; padding: 4px 2px; }
nav a[aria-current] { border-bottom: 3px solid var(--accent); color: var(--ink); }
main { max-width: 1180px; margin: 0 auto; padding: 16px 24px 64px; }
main.narrow { max-width: 420px; padding-top: 10vh; }
h1 { font-size: 1.6rem; margin: 8px 0 16px; }
h2 { font-size: 1.2rem; margin: 32px 0 8px; }
fieldset { background: var(--paper); border: 1px solid var(--line);
  border-radius: 6px; margin: 0 0 20px; padding: 8px 16px 16px; min-width: 0; }
fieldset fieldset { margin: 12px 0 0; background: var(--ground); }
legend { font-weight: 600; padding: 0 6px; }
.fields { display: grid; gap: 12px 16px;
  grid-template-columns: repeat(auto-fill, minmax(205px, 1fr)); }
.field { display: flex; flex-direction: column; min-width: 0; }
.field.check { flex-direction: row; flex-wrap: wrap; gap: 8px;
  align-items: center; }
.field.check label { flex: 1; }
label, .label { font-size: .88rem; font-weight: 600; }
.hint { font-size: .8rem; color: var(--muted); margin: 0; }
input, select { font: inherit; padding: 6px 8px; border: 1px solid #8793a1;
  border-radius: 4px; background: var(--paper); color: var(--ink);
  min-width: 0; max-width: 100%; }
input[type=checkbox] { width: 18px; height: 18px; }
[aria-invalid=true] { border: 2px solid var(--bad); }
.problem { color: var(--bad); font-size: .85rem; margin: 2px 0 0; width: 100%; }
button { font: inherit; padding: 6px 14px; border: 1px solid var(--accent);
  border-radius: 4px; background: var(--accent); color: #fff; cursor: pointer; }
button.quiet { background: var(--paper); color: var(--accent); }
button.remove { background: var(--paper); color: var(--bad);
  border-color: var(--bad); }
figure { margin: 16px 0 28px; background: var(--paper); padding: 12px; }
figcaption { font-weight: 600; }
svg { width: 100%; height: auto; }
td:first-child { white-space: nowrap; }
.actions { display: flex; flex-wrap: wrap; gap: 8px; margin: 16px 0; }
.notice { padding: 10px 14px; border-left: 4px solid var(--accent);
  background: var(--paper); }
.notice.bad { border-color: var(--bad); }
.notice.good { border-color: var(--good); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; background: var(--paper); width: 100%;
  font-size: .9rem; }
th, td { text-align: left; padding: 6px 10px; border: 1px solid var(--line);
  vertical-align: top; }
th { background: #e9edf2; white-space: nowrap; }
td.number { text-align: right; font-variant-numeric: tabular-nums;
  white-space: nowrap; }
td.before { color: var(--bad); } td.after { color: var(--good); }
code { font-size: .9em; overflow-wrap: anywhere; }
.alert { color: var(--bad); font-weight: 600; }
.muted { color: var(--muted); }
`;
