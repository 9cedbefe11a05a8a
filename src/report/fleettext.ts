import {textTable} from './table.js';
import type {
  FleetReport,
  InstanceView,
  LeaseView,
  UpstreamView,
} from './fleetreport.js';

const BYTES_PER_MEBIBYTE = 1024 * 1024;

interface UpstreamLine extends UpstreamView {
  seenBy: string;
}

/** Writes the state of the fleet for a terminal. */
export function fleetText(report: FleetReport): string {
  const notes = [
    ...report.silent.map(
      ({instance, failure}) =>
        `Instance ${instance} did not answer (${failure}).`,
    ),
    ...report.disagreements.map(text => `Views disagree on ${text}.`),
  ];
  if (notes.length === 0) notes.push('All instances answered and agree.');
  const sections = [
    notes.join('\n') + '\n',
    `Instances\n${instanceTable(report.views)}`,
    `Upstreams\n${upstreamTable(report.views)}`,
    `Leases\n${leaseTable(report.views)}`,
  ];
  return sections.join('\n');
}

/** Writes the load that an upstream reported, and its age. */
export function formatLoad({load}: UpstreamView): string {
  if (load === undefined) return 'none';
  const memory = `${Math.round(load.memory * 100)}% memory`;
  const leaving = load.leaving ? ', leaving' : '';
  return `${load.running} running, ${load.waiting} waiting, ${memory}${leaving}, ${load.ageMs} ms old`;
}

/** Writes how an instance stands to the log. */
export function formatLog({log, backlog}: InstanceView): string {
  const lag =
    log.lagRecords === undefined ? '' : `, ${log.lagRecords} records behind`;
  const state = log.reachable ? `${log.answerMs} ms${lag}` : 'does not answer';
  const unsent = backlog.unsent > 0 ? `, ${backlog.unsent} unsent` : '';
  const dropped = backlog.dropped > 0 ? `, ${backlog.dropped} dropped` : '';
  return `${state}${unsent}${dropped}`;
}

/** Writes bytes in MiB. */
export function formatMemory(bytes: number): string {
  return `${(bytes / BYTES_PER_MEBIBYTE).toFixed(0)} MiB`;
}

function instanceTable(views: readonly InstanceView[]): string {
  return textTable(
    [
      {title: 'Instance', value: view => view.instance},
      {title: 'zone', value: view => view.zone},
      {
        title: 'version',
        numeric: true,
        value: view => String(view.configurationVersion),
      },
      {
        title: 'queued',
        numeric: true,
        value: view => String(view.queued),
      },
      {
        title: 'running',
        numeric: true,
        value: view => String(view.running),
      },
      {
        title: 'memory',
        numeric: true,
        value: view => formatMemory(view.memoryBytes),
      },
      {title: 'log', value: formatLog},
      {title: 'members', value: formatMembers},
    ],
    views,
  );
}

/** Writes the members an instance knows, with the state of those not alive. */
export function formatMembers({members}: InstanceView): string {
  return members
    .map(({name, state}) => (state === 'alive' ? name : `${name} (${state})`))
    .join(', ');
}

function upstreamTable(views: readonly InstanceView[]): string {
  const lines = views.flatMap(view =>
    view.upstreams.map((item): UpstreamLine => ({
      ...item,
      seenBy: view.instance,
    })),
  );
  lines.sort((a, b) => a.name.localeCompare(b.name));
  return textTable(
    [
      {title: 'Upstream', value: line => line.name},
      {title: 'pool', value: line => line.pool},
      {title: 'zone', value: line => line.zone},
      {title: 'seen by', value: line => line.seenBy},
      {title: 'takes work', value: line => (line.takesWork ? 'yes' : 'no')},
      {
        title: 'running here',
        numeric: true,
        value: line => String(line.inflight),
      },
      {
        title: 'limit',
        numeric: true,
        value: line => String(line.limit ?? '-'),
      },
      {title: 'reported load', value: formatLoad},
    ],
    lines,
  );
}

/** Writes the time that a lease has left, where it is known. */
export function formatRemaining({remainingMs}: LeaseView): string {
  return remainingMs === undefined ? '-' : `${Math.round(remainingMs)} ms`;
}

function leaseTable(views: readonly InstanceView[]): string {
  const lines = views.flatMap(view =>
    view.leases.map(lease => ({...lease, seenBy: view.instance})),
  );
  if (lines.length === 0) return 'none\n';
  return textTable(
    [
      {title: 'Lease', value: line => line.name},
      {title: 'holder', value: line => line.holder},
      {
        title: 'fencing number',
        numeric: true,
        value: line => String(line.fencingNumber ?? '-'),
      },
      {
        title: 'left',
        numeric: true,
        value: line => formatRemaining(line),
      },
      {title: 'seen by', value: line => line.seenBy},
    ],
    lines,
  );
}
