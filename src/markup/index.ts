export {escapeHtml, html, Markup} from './html.js';
export type {Content} from './html.js';
