import type { View } from '@pumicebarrow/registry';

/** The newest view that any of some core daemons holds; null while none has one. */
export const TopView = {
  of(cores: Iterable<{ core: { view(): View | null } }>): View | null {
    const views = [...cores].map((c) => c.core.view()).filter((v) => v !== null);
    return views.sort((a, b) => b.epoch - a.epoch)[0] ?? null;
  },
};
