import type { Engine } from './engine.js';

/** A running engine. */
export type Motor = ReturnType<typeof Engine.make>;
