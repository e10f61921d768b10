import { Takes } from '../takes.js';

type Stream = { weight: number; due: boolean; pieces: number; chars: number; fresh: boolean; stop: () => void };
type Cutting = {
  /** A piece has been handed on. */
  piece: (text: string) => void;
  /** Nothing more is taken from this stream. */
  over: () => boolean;
  leave: () => void;
};

/**
 * The streams of borrowed work that may be cut at a piece, by server. Invariants: a stream that is cut has brought at
 * least one piece, so that each cut is a step nearer to the end; after a cut no more pieces are taken from it; one
 * whose pieces are too long to be kept is not cut.
 */
export const Cuts = {
  make() {
    const open = new Map<string, Set<Stream>>();
    const over = (s: Stream): boolean => s.due && s.fresh && Takes.keeps(s.pieces, s.chars);
    const call = (list: Iterable<Stream>): void => {
      for (const s of [...list]) {
        s.due = true;
        if (over(s)) s.stop();
      }
    };
    return {
      enter(server: string, weight: number, begun: readonly string[], stop: () => void): Cutting {
        const chars = begun.join('').length;
        const mine: Stream = { weight, due: false, pieces: begun.length, chars, fresh: false, stop };
        const all = open.get(server) ?? new Set<Stream>();
        open.set(server, all.add(mine));
        return {
          piece(text): void {
            mine.fresh = true;
            mine.pieces++;
            mine.chars += text.length;
          },
          over: () => over(mine),
          leave(): void {
            all.delete(mine);
            if (all.size === 0 && open.get(server) === all) open.delete(server);
          },
        };
      },
      /** Cuts what streams at this server: at once, or with its first piece. */
      cut: (server: string): void => call(open.get(server) ?? []),
      all(): void {
        for (const list of [...open.values()]) call(list);
      },
      /** The weight that was cut at this server, and is as good as gone from it. */
      going: (server: string): number =>
        [...(open.get(server) ?? [])].reduce((n, s) => n + (over(s) ? s.weight : 0), 0),
    };
  },
};
