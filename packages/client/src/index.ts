export { Client } from './client.js';
export { Line } from './line.js';
export { type Trying } from './trying.js';
export { type Visiting } from './visiting.js';
export type * from './generated.js';
