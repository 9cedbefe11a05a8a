import {createHash} from 'node:crypto';
import {z} from 'zod';
import {checkDocument, type Problem} from './check.js';
import type {Configuration} from './document.js';

/** Stream of the platform's log that carries configuration. */
export const CONFIGURATION_STREAM = 'configuration';

const submissionSchema = z.object({
  type: z.literal('submission'),
  /** Identifies the submission, so that a lost answer can be found again. */
  id: z.string(),
  /** Version the submission is based on; 0 when there is none yet. */
  base: z.number().int(),
  document: z.unknown(),
});

const checkpointSchema = z.object({
  type: z.literal('checkpoint'),
  /** The writer had read the stream up to and including this offset. */
  upTo: z.number().int(),
  version: z.number().int(),
  document: z.unknown(),
});

/** A record of [[CONFIGURATION_STREAM]]. */
export const configurationRecordSchema = z.discriminatedUnion('type', [
  submissionSchema,
  checkpointSchema,
]);

/** A record of [[CONFIGURATION_STREAM]]. */
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

/** A configuration in force, under the version the log's order gave it. */
export interface AcceptedConfiguration {
  /** Offset of the accepted submission plus one; versions only grow. */
  version: number;
  document: Configuration;
}

/** What the log's order made of one submission. */
export type Verdict =
  | {type: 'accepted'; id: string; version: number}
  | {type: 'conflict'; id: string; base: number; current: number}
  | {type: 'invalid'; id: string; problems: Problem[]};

/**
 * Applies records in offset order. Two ledgers that read the same offsets hold
 * the same configuration and gave the same verdicts. A ledger that starts in
 * the middle of the stream waits for a checkpoint whose `upTo` is not before
 * the place it started at, and replays from there.
 */
export class Ledger {
  private accepted?: AcceptedConfiguration;

  /** The newest accepted configuration, or undefined before the first. */
  current(): AcceptedConfiguration | undefined {
    return this.accepted;
  }

  /** Installs a configuration that a checkpoint or a peer proves accepted. */
  install(configuration: AcceptedConfiguration): boolean {
    if (configuration.version <= (this.accepted?.version ?? 0)) return false;
    this.accepted = configuration;
    return true;
  }

  /** Applies one submission found at `offset`. */
  submit(offset: number, record: z.infer<typeof submissionSchema>): Verdict {
    const current = this.accepted?.version ?? 0;
    if (record.base !== current) {
      return {type: 'conflict', id: record.id, base: record.base, current};
    }
    const checked = checkDocument(record.document);
    if (checked.isErr()) {
      return {type: 'invalid', id: record.id, problems: checked.error.problems};
    }
    this.accepted = {version: offset + 1, document: checked.value};
    return {type: 'accepted', id: record.id, version: offset + 1};
  }
}

/** SHA-256 of a workspace key, as the configuration stores it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
