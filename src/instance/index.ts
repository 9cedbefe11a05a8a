export {Entrance} from './entrance.js';
export type {EntranceParts} from './entrance.js';
export {checkSettings, settingsSchema} from './settings.js';
export type {InvalidSettings, Settings} from './settings.js';
