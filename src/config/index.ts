export {checkDocument} from './check.js';
export type {InvalidDocument, Problem} from './check.js';
export {applyChanges, diff} from './delta.js';
export type {Change, UnknownPath} from './delta.js';
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
  checkAcceptedDocument,
  hashKey,
  ConfigurationStateMachine,
} from './statemachine.js';
export type {AcceptedConfiguration, Revision, Verdict} from './statemachine.js';
export {ConfigurationFollower} from './follower.js';
export type {ConfigurationListener, KnownCheckpoint} from './follower.js';
export {Lookup} from './lookup.js';
export {noPeers} from './peers.js';
export type {
  ConfigurationPeers,
  PeerConfiguration,
  PeerFetchResult,
} from './peers.js';
export {publish} from './publish.js';
export type {
  Draft,
  Publication,
  PublishFailure,
  PublishOptions,
  PublishParts,
} from './publish.js';
export {
  CHECKPOINT_STREAM,
  CONFIGURATION_STREAM,
  configurationRecordSchema,
} from './record.js';
export type {Checkpoint, ConfigurationRecord, Submission} from './record.js';
export {CheckpointWriter} from './checkpointwriter.js';
export type {CheckpointWriterParts} from './checkpointwriter.js';
