export { type AttemptResult } from './attemptresult.js';
export { Client } from './client.js';
export { DaemonClient } from './daemonclient.js';
export { type RequestResult } from './requestresult.js';
export type * from './generated.js';
