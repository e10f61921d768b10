export { Client } from './client.js';
export { Line } from './line.js';
export { type RequestResult } from './requestresult.js';
export { type Trying } from './trying.js';
export type * from './generated.js';
// The names before, for callers who import them.
export { type Request as Visit, type AnswerLine as OutcomeLine } from './generated.js';
export { type RequestResult as Visiting } from './requestresult.js';
