import { Views, type View } from '@pumicebarrow/registry';
import type { ModelWorld } from './modelworld.js';

type Node = ModelWorld['nodes'][number];
const views = new WeakMap<View, string>();
const nodes = new WeakMap<Node, string>();
const cached = <K extends object>(map: WeakMap<K, string>, of: K, make: () => string): string => {
  const known = map.get(of);
  if (known !== undefined) return known;
  const made = make();
  map.set(of, made);
  return made;
};
const list = (all: readonly { id: string; born: string }[] | undefined): string =>
  (all ?? []).map((m) => `${m.id}/${m.born}`).join(' ');
const viewText = (v: View | null | undefined): string =>
  v
    ? cached(views, v, () => [v.epoch, list(v.voters), list(v.chain), list(v.joining), list(v.reserve)].join(':'))
    : '-';
const nodeText = (n: Node): string =>
  cached(nodes, n, () =>
    [
      ...[`${n.id}/${n.born}`, n.up ? 1 : 0, viewText(n.view), n.vote?.epoch, n.vote?.promised, n.vote?.took?.ballot],
      ...[viewText(n.vote?.took?.view), n.log, n.granted.join(' '), n.leases.join(' '), n.fresh, n.ready, n.shown],
      ...[n.round?.ballot, viewText(n.round?.value)],
    ].join(','),
  );
const newest = (w: ModelWorld): View => w.chosen[Math.max(...Object.keys(w.chosen).map(Number))]!;

/**
 * A text for each state of the model. Members are named by their place in the newest view, and those outside it by what
 * they hold, so that states which differ by names alone have one text (members are symmetric).
 */
export const ModelKeys = {
  newest,
  view: (v: View): string => viewText(v),
  of(w: ModelWorld): string {
    const top = newest(w);
    const rank = (n: Node): number => {
      const at = top.chain.findIndex((m) => m.id === n.id);
      return at < 0 ? top.chain.length : at;
    };
    const order = [...w.nodes].sort((a, b) => rank(a) - rank(b) || (a.log < b.log ? -1 : a.log > b.log ? 1 : 0));
    const names = new Map(order.map((n, i) => [n.id, `m${i}`]));
    const { crash, wipe, cut, write, propose } = w.left;
    const rest = [viewText(top), w.told, w.cut, w.ballot, crash, wipe, cut, write, propose];
    return [...order.map(nodeText), ...rest].join(';').replace(/k\d/g, (id) => names.get(id)!);
  },
  same: (a: View, b: View): boolean => viewText(a) === viewText(b) && Views.sameMember(a.chain[0], b.chain[0]),
};
