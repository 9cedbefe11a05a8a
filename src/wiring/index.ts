export {startRouter} from './router.js';
export type {Router} from './router.js';
export {startGateway} from './gateway.js';
export type {Gateway, GatewaySettings, PlatformAdapter} from './gateway.js';
