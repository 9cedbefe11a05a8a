import {z} from 'zod';
import {
  HoldState,
  type Evidence,
  type Hold,
  type Suspect,
} from '../quarantine/index.js';

/** Kind of an item of evidence in a message. */
enum EvidenceKind {
  Crash = 'c',
  Clearance = 'p',
  Hold = 'h',
}

/** Age of what an item tells, in ms, as monotonic clocks can't be compared. */
const ageSchema = z.number().min(0);

/** Id of a request, its time at the upstream in ms, then the ids of its parts. */
const suspectSchema = z.tuple([z.string(), z.number().min(0)], z.string());

/** Item of evidence, without names to keep messages small. */
const evidenceSchema = z.union([
  z.tuple([
    z.literal(EvidenceKind.Crash),
    /** upstream */
    z.string(),
    /** startedAt */
    z.number(),
    /** reporter */
    z.string(),
    ageSchema,
    z.array(suspectSchema),
  ]),
  z.tuple([
    z.literal(EvidenceKind.Clearance),
    /** part */
    z.string(),
    ageSchema,
  ]),
  z.tuple([
    z.literal(EvidenceKind.Hold),
    /** part */
    z.string(),
    z.enum(HoldState),
    /** revision */
    z.number().int().min(0),
    /** crashes */
    z.number().int().min(0),
    /** decidedAt */
    z.number(),
  ]),
]);

export type WireEvidence = z.output<typeof evidenceSchema>;

/** Encodes evidence; `now` is in monotonic ms of this instance. */
export function encodeEvidence(evidence: Evidence, now: number): WireEvidence {
  switch (evidence.type) {
    case 'crash': {
      const {upstream, startedAt, reporter, at, suspects} = evidence;
      const wire = suspects.map(
        ({request, openMs, parts}): [string, number, ...string[]] => [
          request,
          Math.round(openMs),
          ...parts,
        ],
      );
      const ageMs = ageOf(at, now);
      return [EvidenceKind.Crash, upstream, startedAt, reporter, ageMs, wire];
    }
    case 'clearance':
      return [EvidenceKind.Clearance, evidence.part, ageOf(evidence.at, now)];
    case 'hold': {
      const {part, state, revision, crashes, decidedAt} = evidence;
      return [EvidenceKind.Hold, part, state, revision, crashes, decidedAt];
    }
  }
}

/** Decodes an item of a message; undefined if it is malformed or unknown. */
export function decodeEvidence(
  item: unknown,
  now: number,
): Evidence | undefined {
  const {data: wire} = evidenceSchema.safeParse(item);
  if (wire === undefined) return undefined;
  switch (wire[0]) {
    case EvidenceKind.Crash: {
      const [, upstream, startedAt, reporter, ageMs, items] = wire;
      const suspects = items.map(([request, openMs, ...parts]): Suspect => ({
        request,
        parts,
        openMs,
      }));
      const at = now - ageMs;
      return {type: 'crash', upstream, startedAt, reporter, suspects, at};
    }
    case EvidenceKind.Clearance: {
      const [, part, ageMs] = wire;
      return {type: 'clearance', part, at: now - ageMs};
    }
    case EvidenceKind.Hold: {
      const [, part, state, revision, crashes, decidedAt] = wire;
      return {type: 'hold', part, state, revision, crashes, decidedAt};
    }
  }
}

function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

const holdSchema = z.object({
  part: z.string(),
  state: z.enum(HoldState),
  revision: z.number().int().min(0),
  crashes: z.number().int().min(0),
  decidedAt: z.number(),
});

/** Encodes a hold as the value of a record. */
export function encodeHold(hold: Hold): Buffer {
  const {part, state, revision, crashes, decidedAt} = hold;
  const value = {part, state, revision, crashes, decidedAt};
  return Buffer.from(JSON.stringify(value));
}

/** Decodes the value of a record; undefined if it is invalid. */
export function decodeHold(value: Buffer): Hold | undefined {
  try {
    const {data} = holdSchema.safeParse(JSON.parse(value.toString('utf8')));
    return data === undefined ? undefined : {type: 'hold', ...data};
  } catch {
    // Another program may have written the record. The caller logs it.
    return undefined;
  }
}
