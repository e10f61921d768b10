import type { MemoryBudget } from './memorybudget.js';

/** What one listener may take of its process's machine. */
export type ListenerLimits = {
  maxConnections: number;
  /** Shared by all listeners of the process. */
  memory: MemoryBudget;
  /** Estimated memory that one JSON document from outside may take once it is parsed. */
  maxJsonBytes: number;
};
