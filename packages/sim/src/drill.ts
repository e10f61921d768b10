import type { Scene } from './scene.js';

/** One fault of the brief, brought about. Invariant: when the script ends, every machine and server is back. */
export type Drill = { name: string; about: string; run(s: Scene): Promise<void> };
