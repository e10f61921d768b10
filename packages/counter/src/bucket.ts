/**
 * Extra tries this daemon may still make. Starts empty, so that a herd of restarts brings none.
 * Invariant: tries taken never exceed `rate` a request.
 */
export const Bucket = {
  make(rate: number, cap: number) {
    let level = 0;
    return {
      request(): void {
        level = Math.min(cap, level + rate);
      },
      take(): boolean {
        if (level < 1) return false;
        level -= 1;
        return true;
      },
      level: (): number => level,
    };
  },
};
