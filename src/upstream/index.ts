export {Directory, offers, takesWork} from './directory.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
