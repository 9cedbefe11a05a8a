export {startRouter} from './router.js';
export type {Router} from './router.js';
export {startGateway} from './gateway.js';
export type {Gateway} from './gateway.js';
export type {GatewaySettings} from './gatewaysettings.js';
export type {PlatformAdapter} from './platformadapter.js';
