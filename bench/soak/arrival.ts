import type {IncomingMessage} from 'node:http';
import type {Arrival} from './history.js';

/** What a request shows of itself when an upstream runs it. */
export function arrivalOf(
  {headers, url: path = '/', method = ''}: IncomingMessage,
  request: string,
  body: string,
): Pick<
  Arrival,
  'request' | 'method' | 'path' | 'body' | 'ran' | 'status' | 'brokeOff'
> {
  const {'x-tenant': tenant, authorization} = headers;
  return {
    request,
    method,
    path,
    body,
    ran: true,
    status: 200,
    brokeOff: false,
    ...(typeof tenant === 'string' ? {tenant} : {}),
    ...(authorization === undefined ? {} : {authorization}),
  };
}
