export {streamKey} from './origin.js';
export type {OriginLookup, StreamOrigin} from './origin.js';
export {OriginExchange} from './originexchange.js';
export type {StreamOrigins} from './originexchange.js';
export {SoftwareVersions, VersionMix} from './softwareversions.js';
export type {VersionedUpstream} from './softwareversions.js';
export {isVersionRecord, VersionRecords} from './versionrecords.js';
