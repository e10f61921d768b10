import type { Sheet } from './sheet.js';

/** Charter and casting, as the other parts see them. */
export type SheetView = ReturnType<typeof Sheet.make>;
