import type { ResponseWriter, ClientRequest } from '@pumicebarrow/router';
import type { Bent } from './bent.js';
import { Bounds } from './bounds.js';
import { ModelTenants } from './modeltenants.js';
import { Deliveries } from './deliveries.js';
import type { Piece } from './piece.js';
import type { Fleet } from './fleet.js';
import type { Seen } from './seen.js';
import type { Wish } from './wish.js';

type Outcome = Extract<Seen, { what: 'answered' }>['outcome'];
type Tried = { outcome: Outcome; pieces: readonly Piece[]; after: number };
const NEVER = 1e12;
/** Verdicts after which a client does not try again. */
const OUTCOMES: Readonly<Record<string, Outcome>> = {
  ...{ unknownroute: 'missing', nokey: 'unauthorized', unknownkey: 'unauthorized', revokedkey: 'unauthorized' },
};

/**
 * One try of a client at one router. Invariants: it ends once; a process that is killed tears it, one that goes dark
 * leaves it silent; the client goes at its deadline, or after a silence.
 */
export const OneTry = {
  make(fleet: Fleet, bent: Bent, tell: (x: Seen) => void) {
    const { motor } = fleet;
    const open = new Map<string, { router: string; torn: (dark: boolean) => void }>();
    let tries = 0;
    fleet.torn((id, dark) => {
      for (const t of [...open.values()]) if (t.router === id) t.torn(dark);
    });
    const delay = (): number => 0.4 + motor.chance.real();
    const front = (id: string): string =>
      bent === 'mixedfronts' ? fleet.routerIds[Math.floor(motor.chance.real() * fleet.routerIds.length)]! : id;
    return (w: Wish, router: string, after: number, due: number): Promise<Tried> =>
      new Promise((resolve) => {
        const id = `t${++tries}`,
          box = fleet.boxes.get(front(router))!;
        const pieces: Piece[] = [];
        let life = -1;
        let over = false;
        let again = 0;
        let heard = motor.now();
        let leave: () => void = () => undefined;
        tell({
          credentials: w.credentials,
          ...{
            what: 'sent',
            id,
            key: w.key,
            router,
            life: fleet.boxes.get(router)!.life(),
            path: w.path,
            kind: w.kind,
          },
          ...{ resumable: w.resumable, service: w.service, after, total: w.total, due, at: motor.now() },
        });
        const end = (outcome: Outcome): void => {
          if (over) return;
          over = true;
          open.delete(id);
          tell({ what: 'answered', id, outcome, pieces, at: motor.now() });
          resolve({ outcome, pieces, after: again });
        };
        const out = Deliveries.make(motor, () => false, delay);
        let down = false;
        const say = (fn: () => void): void => {
          if (!down) out.push(() => void (over || fn()));
        };
        open.set(id, {
          router: box.id,
          torn(dark) {
            down = true;
            if (!dark) out.push(() => end('cut'));
          },
        });
        const watch = (): void => {
          if (over) return;
          if (motor.now() >= due || motor.now() - heard > Bounds.silence) {
            leave();
            end('left');
          } else motor.at(motor.now() + 100, watch);
        };
        motor.at(motor.now() + 100, watch);
        const sink: ResponseWriter = {
          writeHead: () => undefined,
          write(chunk) {
            if (over) return false;
            const piece = JSON.parse(new TextDecoder().decode(chunk)) as Piece;
            say(() => {
              heard = motor.now();
              pieces.push(piece);
            });
            return true;
          },
          end: () => say(() => end('whole')),
          abort: () => say(() => end('cut')),
          isClientGone: () => over,
          onClientGone(fn) {
            leave = () => {
              const fire = (): void => {
                if (box.life() !== life) return;
                if (box.frozen()) motor.at(box.thaw(), fire);
                else fn();
              };
              motor.at(motor.now() + delay(), fire);
            };
          },
        };
        motor.at(motor.now() + delay(), function arrive() {
          if (over) return;
          const r = fleet.routers.get(box.id);
          if (!r || !box.up()) {
            end('unreached');
            return;
          }
          if (box.frozen()) {
            motor.at(Math.min(box.thaw(), NEVER), arrive);
            return;
          }
          life = box.life();
          const request: ClientRequest = {
            ...{ id, method: 'POST', host: 'fleet.example', path: w.path },
            headers: [['authorization', w.credentials]],
            ...{
              body: new TextEncoder().encode(w.key),
              prompt: w.prompt,
              lastEventId: after > 0 ? String(after) : null,
            },
            ...{ keyDigest: bent === 'anykey' ? ModelTenants.usualOf(w.credentials) : w.credentials, tenant: null },
            deadline: motor.now() + (due - motor.now()),
            clientTimeoutMs: due - motor.now(),
          };
          fleet.open.set(box.id, (fleet.open.get(box.id) ?? 0) + 1);
          void r.serve(request, sink).then((v) => {
            if (box.life() !== life) return;
            fleet.open.set(box.id, (fleet.open.get(box.id) ?? 1) - 1);
            if (!v) return;
            again = (v.after ?? 0.2) * 1000;
            say(() => end(OUTCOMES[v.code] ?? (v.ran === 'no' ? 'refused' : 'broken')));
          });
        });
      });
  },
};
