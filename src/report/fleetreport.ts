import {z} from 'zod';

const upstreamViewSchema = z.object({
  name: z.string(),
  pool: z.string(),
  zone: z.string(),
  /** Attempts of this instance that are running on the upstream. */
  inflight: z.number(),
  /** Whether this instance sends new requests to the upstream. */
  takesWork: z.boolean(),
  /** Limit of concurrent attempts of this instance, if there is one. */
  limit: z.number().optional(),
  /** Load that the upstream last reported. */
  load: z
    .object({
      running: z.number(),
      waiting: z.number(),
      /** Share of the memory in use, 0 to 1. */
      memory: z.number(),
      /** Whether the upstream is shutting down. */
      leaving: z.boolean(),
      /** Time since the load was received. */
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
  /** Known only to the holder of the lease. */
  fencingNumber: z.number().optional(),
  /** Time until the lease expires, by the holder's clock. */
  remainingMs: z.number().optional(),
});

/** State of the fleet as one instance sees it. */
export const instanceViewSchema = z.object({
  instance: z.string(),
  incarnation: z.number(),
  zone: z.string(),
  configurationVersion: z.number(),
  members: z.array(memberViewSchema),
  upstreams: z.array(upstreamViewSchema),
  leases: z.array(leaseViewSchema),
  /** Whether the instance can read the log, and how far it lags behind. */
  log: z.object({
    reachable: z.boolean(),
    /** Duration of the read, also if it failed. */
    answerMs: z.number(),
    /** Configuration records not yet read by the instance. */
    lagRecords: z.number().optional(),
  }),
  /** Summaries not yet written to the log, and those discarded. */
  backlog: z.object({unsent: z.number(), dropped: z.number()}),
  queued: z.number(),
  running: z.number(),
  /** Resident memory of the process. */
  memoryBytes: z.number(),
});

/** State of an upstream as one instance sees it. */
export type UpstreamView = z.infer<typeof upstreamViewSchema>;
/** State of a fleet member as one instance sees it. */
export type MemberView = z.infer<typeof memberViewSchema>;
/** State of a lease as one instance sees it. */
export type LeaseView = z.infer<typeof leaseViewSchema>;
/** State of the fleet as one instance sees it. */
export type InstanceView = z.infer<typeof instanceViewSchema>;

/** Views of all instances that answered. */
export interface FleetReport {
  /** Instance that collected the views. */
  askedInstance: string;
  /** Wall-clock ms. */
  at: number;
  views: InstanceView[];
  /** Live instances that did not answer, with the type of failure. */
  silent: Array<{instance: string; failure: string}>;
  /** Differences between the views, one phrase each. */
  disagreements: string[];
}

/** Describes each difference between the views of instances. */
export function findDisagreements(views: readonly InstanceView[]): string[] {
  return [
    ...compareViews(views, 'configuration version', view => [
      ['in force', String(view.configurationVersion)],
    ]),
    ...compareViews(views, 'instance', view =>
      view.members.map(({name, state}) => [name, state]),
    ),
    ...compareViews(views, 'upstream', view =>
      view.upstreams.map(({name, takesWork}) => [
        name,
        takesWork ? 'takes work' : 'takes no work',
      ]),
    ),
    ...compareViews(viewsWithLeases(views), 'lease', view =>
      view.leases.map(({name, holder}) => [name, `held by ${holder}`]),
    ),
  ];
}

/** Views of instances that read leases; others list none. */
function viewsWithLeases(views: readonly InstanceView[]): InstanceView[] {
  return views.filter(({leases}) => leases.length > 0);
}

/** Compares the values that the views hold for each subject. */
function compareViews(
  views: readonly InstanceView[],
  kind: string,
  valuesOf: (view: InstanceView) => Array<[string, string]>,
): string[] {
  const subjects = new Map<string, Map<string, string[]>>();
  for (const view of views) {
    for (const [subject, value] of valuesOf(view)) {
      const instancesByValue =
        subjects.get(subject) ?? new Map<string, string[]>();
      subjects.set(subject, instancesByValue);
      instancesByValue.set(value, [
        ...(instancesByValue.get(value) ?? []),
        view.instance,
      ]);
    }
  }
  return [...subjects].flatMap(([subject, instancesByValue]) =>
    describeDisagreement(kind, subject, instancesByValue, views.length),
  );
}

function describeDisagreement(
  kind: string,
  subject: string,
  instancesByValue: ReadonlyMap<string, string[]>,
  viewCount: number,
): string[] {
  const reportingCount = [...instancesByValue.values()].flat().length;
  const missingCount = viewCount - reportingCount;
  if (instancesByValue.size < 2 && missingCount === 0) return [];
  const parts = [...instancesByValue].map(
    ([value, instances]) => `${value} (${instances.join(', ')})`,
  );
  if (missingCount > 0) parts.push(`not known to ${missingCount} others`);
  return [`${kind} ${subject}: ${parts.join('; ')}`];
}
