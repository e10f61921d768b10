export { Client } from './client.js';
export { DaemonClient } from './line.js';
export { type RequestResult } from './requestresult.js';
export { type AttemptResult } from './trying.js';
export type * from './generated.js';
