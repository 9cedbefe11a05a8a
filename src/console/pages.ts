import type {AcceptedConfiguration} from '../config/index.js';
import {
  coverageNotes,
  formatLoad,
  formatLog,
  formatMembers,
  formatMemory,
  formatRemaining,
  formatTime,
  formatWindow,
  type BurnReport,
  type Explanation,
  type FleetReport,
} from '../report/index.js';
import {htmlTable, burnTables} from '../report/burnpage.js';
import {burnPlots} from '../report/burnplots.js';
import type {Session} from './authenticator.js';
import {html, type Content, type Markup} from '../markup/index.js';
import {layout} from './layout.js';

/** The first page after signing in. */
export function overviewPage(
  session: Session,
  current: AcceptedConfiguration | undefined,
): Markup {
  const body =
    current === undefined
      ? html`<p class="notice bad">No configuration is in force yet.</p>`
      : html`<p>
            Configuration <b>${current.document.name}</b>, version
            ${current.version}, is in force on this instance.
          </p>
          ${htmlTable(
            ['Part', 'Number'],
            [
              ['Classes', current.document.classes.length],
              ['Workspaces', current.document.workspaces.length],
              ['Pools', current.document.pools.length],
              ['Zones', current.document.zones.length],
              ['Links', current.document.links.length],
            ],
          )}
          <p>
            Changes are made on a draft. Nothing takes effect before it is
            reviewed and published.
          </p>`;
  return layout('Overview', '/console', session, body);
}

/** The report on service-level burn. */
export function burnPage(session: Session, report: BurnReport): Markup {
  const notes = coverageNotes(report);
  const body = html`<p>
      ${formatTime(report.at)}, ${report.sources.length} shares of instances.
      Totals are of the last ${formatWindow(report.windowsMs.at(-1) ?? 0)}.
    </p>
    ${notes.map(note => html`<p class="notice bad">${note}</p>`)}
    <h2>Plots</h2>
    ${burnPlots(report)} ${burnTables(report)}`;
  return layout('Service-level burn', '/console/burn', session, body);
}

/** The state of the fleet. */
export function fleetPage(session: Session, report: FleetReport): Markup {
  const body = html`<p>${formatTime(report.at)}</p>
    ${report.silent.map(
      ({instance, failure}) =>
        html`<p class="notice bad">
          ${instance} did not answer (${failure}).
        </p>`,
    )}
    ${report.disagreements.map(
      text => html`<p class="notice bad">Views disagree on ${text}.</p>`,
    )}
    <h2>Instances</h2>
    ${htmlTable(
      [
        'Instance',
        'Zone',
        'Version',
        'Queued',
        'Running',
        'Memory',
        'Log',
        'Members',
      ],
      report.views.map(view => [
        view.instance,
        view.zone,
        view.configurationVersion,
        view.queued,
        view.running,
        formatMemory(view.memoryBytes),
        formatLog(view),
        formatMembers(view),
      ]),
    )}
    <h2>Upstreams</h2>
    ${htmlTable(
      [
        'Upstream',
        'Pool',
        'Zone',
        'Seen by',
        'Takes work',
        'Running',
        'Limit',
        'Reported load',
      ],
      upstreamRows(report),
    )}
    <h2>Leases</h2>
    ${htmlTable(
      ['Lease', 'Holder', 'Fencing number', 'Left', 'Seen by'],
      report.views.flatMap(view =>
        view.leases.map(lease => [
          lease.name,
          lease.holder,
          lease.fencingNumber ?? '-',
          formatRemaining(lease),
          view.instance,
        ]),
      ),
    )}`;
  return layout('Fleet', '/console/fleet', session, body);
}

function upstreamRows(report: FleetReport): Content[][] {
  return report.views
    .flatMap(view => view.upstreams.map(item => ({item, by: view.instance})))
    .sort((a, b) => a.item.name.localeCompare(b.item.name))
    .map(({item, by}) => [
      item.name,
      item.pool,
      item.zone,
      by,
      item.takesWork ? 'yes' : 'no',
      item.inflight,
      item.limit ?? '-',
      formatLoad(item),
    ]);
}

/** What was done with a request, or a form that asks for its id. */
export function explainPage(
  session: Session,
  request: string,
  explanation: Explanation | undefined,
): Markup {
  const found = explanation?.accounts.map(
    ({instance, sentences}) =>
      html`<h2>On ${instance}</h2>
        <ol>
          ${sentences.map(sentence => html`<li>${sentence}</li>`)}
        </ol>`,
  );
  const unknown =
    explanation?.accounts.length === 0 &&
    html`<p class="notice">No instance that answered remembers it.</p>`;
  const silent = explanation?.silent.map(
    ({instance}) => html`<p class="notice bad">${instance} did not answer.</p>`,
  );
  const body = html`<form method="get" action="/console/explain">
      <p class="field">
        <label for="request">Request id</label>
        <input id="request" name="request" value="${request}" />
      </p>
      <p class="actions"><button>Explain</button></p>
    </form>
    ${unknown} ${found} ${silent}`;
  return layout('Explain a request', '/console/explain', session, body);
}
