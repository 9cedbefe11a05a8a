export {Level, logOf, openLogger, Part} from './logger.js';
