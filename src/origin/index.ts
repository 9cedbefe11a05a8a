export {streamKey, UnknownReason} from './origin.js';
export type {LookupBasis, OriginLookup, StreamOrigin} from './origin.js';
export {OriginExchange} from './originexchange.js';
export type {FoundOrigin, StreamOrigins} from './originexchange.js';
export {SoftwareVersions, VersionMix} from './softwareversions.js';
export type {RecordedVersions, VersionedUpstream} from './softwareversions.js';
export {isVersionRecord, VersionRecords} from './versionrecords.js';
