export {startRouter} from './router.js';
export type {Router} from './router.js';
