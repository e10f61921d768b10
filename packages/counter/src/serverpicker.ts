import type { LiveServerPicker } from './liveserverpicker.js';

/** Picks the server for a request at each stage. */
export type ServerPicker = ReturnType<typeof LiveServerPicker.make>;
