export {checkDocument} from './check.js';
export type {InvalidDocument, Problem} from './check.js';
export {documentSchema} from './document.js';
export type {
  Configuration,
  ConfigurationDraft,
  Limits,
  Link,
  Pool,
  ServiceClass,
  Targets,
  Workspace,
  Zone,
} from './document.js';
export {
  CONFIGURATION_STREAM,
  configurationRecordSchema,
  hashKey,
  Ledger,
} from './ledger.js';
export type {
  AcceptedConfiguration,
  ConfigurationRecord,
  Verdict,
} from './ledger.js';
export {Follower} from './follower.js';
export type {ConfigurationListener} from './follower.js';
export {Lookup} from './lookup.js';
