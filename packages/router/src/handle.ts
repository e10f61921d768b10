import type { Server } from './server.js';

/** Memory of a prompt that a server holds until it is fetched, freed or lapsed. It belongs to one request. */
export type Handle = { server: Server; id: string; tokens: number };
