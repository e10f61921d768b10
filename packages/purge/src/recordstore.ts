import type { InMemoryRecordStore } from './inmemoryrecordstore.js';

/** The shared records that a daemon holds. */
export type RecordStore = ReturnType<typeof InMemoryRecordStore.make>;
