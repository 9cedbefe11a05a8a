import {z} from 'zod';

const upstreamViewSchema = z.object({
  name: z.string(),
  pool: z.string(),
  zone: z.string(),
  /** Attempts of the instance that run on it. */
  inflight: z.number(),
  /** Whether the instance gives it new work. */
  takesWork: z.boolean(),
  /** Most attempts the instance runs on it, where there is a limit. */
  limit: z.number().optional(),
  /** What the upstream last reported, and how old that is. */
  load: z
    .object({
      running: z.number(),
      waiting: z.number(),
      memory: z.number(),
      leaving: z.boolean(),
      ageMs: z.number(),
    })
    .optional(),
});

const memberViewSchema = z.object({
  name: z.string(),
  incarnation: z.number(),
  zone: z.string(),
  state: z.string(),
  configurationVersion: z.number(),
});

const leaseViewSchema = z.object({
  name: z.string(),
  holder: z.string(),
  /** Known to the holder only. */
  fencingNumber: z.number().optional(),
  /** Time left, by the holder's clock. */
  remainingMs: z.number().optional(),
});

/** What one instance sees of the fleet. */
export const instanceViewSchema = z.object({
  instance: z.string(),
  incarnation: z.number(),
  zone: z.string(),
  configurationVersion: z.number(),
  members: z.array(memberViewSchema),
  upstreams: z.array(upstreamViewSchema),
  leases: z.array(leaseViewSchema),
  /** Whether the log answers the instance, and how far it lags behind. */
  log: z.object({
    reachable: z.boolean(),
    answerMs: z.number(),
    lagRecords: z.number().optional(),
  }),
  /** Summaries that wait for the log, and those given up. */
  backlog: z.object({unsent: z.number(), dropped: z.number()}),
  queued: z.number(),
  running: z.number(),
  /** Memory of the process in bytes. */
  memoryBytes: z.number(),
});

/** What an instance sees of one upstream. */
export type UpstreamView = z.infer<typeof upstreamViewSchema>;
/** What an instance sees of one instance. */
export type MemberView = z.infer<typeof memberViewSchema>;
/** A lease as an instance sees it. */
export type LeaseView = z.infer<typeof leaseViewSchema>;
/** What one instance sees of the fleet. */
export type InstanceView = z.infer<typeof instanceViewSchema>;

/** The views of all instances that answered, side by side. */
export interface FleetReport {
  askedInstance: string;
  at: number;
  views: InstanceView[];
  silent: Array<{instance: string; failure: string}>;
  /** Where the views disagree, one sentence each. */
  disagreements: string[];
}

/** Finds where the views of instances disagree. */
export function findDisagreements(views: readonly InstanceView[]): string[] {
  return [
    ...differing(views, 'configuration version', view => [
      ['in force', String(view.configurationVersion)],
    ]),
    ...differing(views, 'instance', view =>
      view.members.map(({name, state}) => [name, state]),
    ),
    ...differing(views, 'upstream', view =>
      view.upstreams.map(({name, takesWork}) => [
        name,
        takesWork ? 'takes work' : 'takes no work',
      ]),
    ),
    ...differing(viewsWithLeases(views), 'lease', view =>
      view.leases.map(({name, holder}) => [name, `held by ${holder}`]),
    ),
  ];
}

/** Instances that read the leases; the others have no opinion on them. */
function viewsWithLeases(views: readonly InstanceView[]): InstanceView[] {
  return views.filter(({leases}) => leases.length > 0);
}

/** Compares what the views say of each subject. */
function differing(
  views: readonly InstanceView[],
  kind: string,
  opinionsOf: (view: InstanceView) => Array<[string, string]>,
): string[] {
  const subjects = new Map<string, Map<string, string[]>>();
  for (const view of views) {
    for (const [subject, opinion] of opinionsOf(view)) {
      const opinions = subjects.get(subject) ?? new Map<string, string[]>();
      subjects.set(subject, opinions);
      opinions.set(opinion, [...(opinions.get(opinion) ?? []), view.instance]);
    }
  }
  return [...subjects].flatMap(([subject, opinions]) =>
    disagreement(kind, subject, opinions, views.length),
  );
}

function disagreement(
  kind: string,
  subject: string,
  opinions: ReadonlyMap<string, string[]>,
  viewers: number,
): string[] {
  const speaking = [...opinions.values()].flat().length;
  const silent = viewers - speaking;
  if (opinions.size < 2 && silent === 0) return [];
  const parts = [...opinions].map(
    ([opinion, instances]) => `${opinion} (${instances.join(', ')})`,
  );
  if (silent > 0) parts.push(`not known to ${silent} others`);
  return [`${kind} ${subject}: ${parts.join('; ')}`];
}
