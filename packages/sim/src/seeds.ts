/** Seeds as given on a command line: 7, 1-20 or 3,5,8. */
export const Seeds = {
  read(text: string): number[] | null {
    const out: number[] = [];
    for (const bit of text.split(',')) {
      const m = /^(\d{1,9})(?:-(\d{1,9}))?$/.exec(bit.trim());
      if (!m) return null;
      const from = Number(m[1]),
        to = Number(m[2] ?? m[1]);
      if (to < from || to - from > 9999) return null;
      for (let i = from; i <= to; i++) out.push(i);
    }
    return out.length > 0 ? out : null;
  },
};
