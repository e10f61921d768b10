type Sum = { mails: number; in: number; out: number };

/** What a frame adds to a mail, and to its reply. */
const MAIL = 19;
const REPLY = 17;

/**
 * Mails and bytes by daemon and kind. Invariants: each exchange is counted once at the asker and once at the asked;
 * `mails` counts frames sent or taken, so one exchange is two at either end.
 */
export const Tally = {
  make() {
    let book = new Map<string, Map<string, Sum>>();
    const at = (who: string, kind: string): Sum => {
      const kinds = book.get(who) ?? new Map<string, Sum>();
      book.set(who, kinds);
      const sum = kinds.get(kind) ?? { mails: 0, in: 0, out: 0 };
      kinds.set(kind, sum);
      return sum;
    };
    return {
      add(kind: string, from: string, to: string, sent: number, back: number): void {
        const a = at(from, kind),
          b = at(to, kind);
        a.mails += 2;
        a.out += sent + MAIL;
        a.in += back + REPLY;
        b.mails += 2;
        b.in += sent + MAIL;
        b.out += back + REPLY;
      },
      reset(): void {
        book = new Map();
      },
      /** The mean of some daemons, by kind. */
      mean(ids: readonly string[]): Map<string, Sum> {
        const out = new Map<string, Sum>();
        for (const id of ids)
          for (const [kind, s] of book.get(id) ?? []) {
            const o = out.get(kind) ?? { mails: 0, in: 0, out: 0 };
            out.set(kind, {
              mails: o.mails + s.mails / ids.length,
              in: o.in + s.in / ids.length,
              out: o.out + s.out / ids.length,
            });
          }
        return out;
      },
    };
  },
};
