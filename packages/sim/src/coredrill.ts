import type { Scripter } from './scripter.js';
import type { Size } from './size.js';

/** One way to bring the core alone to the edge of what it promises; `run` tells whether that was met. */
export type CoreDrill = { name: string; about: string; size?: Size; run(s: Scripter): Promise<boolean> };
