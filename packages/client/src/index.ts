export { Client } from './client.js';
export { type Visiting } from './visiting.js';
export type * from './generated.js';
