import type { Sheet } from './sheet.js';

/** Configuration and stage assignments, as other modules read them. */
export type SheetView = ReturnType<typeof Sheet.make>;
