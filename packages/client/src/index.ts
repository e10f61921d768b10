export { Client } from './client.js';
export { Line } from './line.js';
export { type RequestResult } from './requestresult.js';
export { type Trying } from './trying.js';
export type * from './generated.js';
