import type { Prompt } from '@pumicebarrow/router';

/** Parts of prompts that a server keeps. A part counts only if all before it are kept; oldest out first. */
export const PrefixMemory = {
  make(capacity: number) {
    const kept = new Map<string, number>();
    let sum = 0;
    const shrink = (most: number): void => {
      for (const [id, n] of kept) {
        if (sum <= most) return;
        kept.delete(id);
        sum -= n;
      }
    };
    return {
      /** Whether so many tokens of others fit once kept parts have given way. */
      room(others: number): boolean {
        if (others > capacity) return false;
        shrink(capacity - others);
        return true;
      },
      held(p: Prompt | null): number {
        let n = 0;
        for (const part of p?.parts ?? []) {
          if (!kept.has(part.id)) break;
          n += part.tokens;
        }
        return n;
      },
      keep(p: Prompt, most: number): void {
        for (const part of p.parts) {
          sum -= kept.get(part.id) ?? 0;
          kept.delete(part.id);
          kept.set(part.id, part.tokens);
          sum += part.tokens;
        }
        shrink(Math.max(0, most));
      },
      sum: (): number => sum,
    };
  },
};
