/** Tests that start processes, listen on sockets or measure real time: one by one, with nothing beside them. */
const REAL = [
  /^packages\/(yard|client)\//,
  /^platform\//,
  /^packages\/forms\/dist\/(tcpwire|acceptedpeers|connectiontable|filedisk|settingsreader|knownred)\.test\.js$/,
  /^packages\/counter\/dist\/httpmodelserverclient\.test\.js$/,
];
/** Tests that share their runs out over threads of their own, as many as there are cores. */
const WIDE = [/^(Every drill|Lending), in virtual time breaks /, /^The core alone /];
/** Files whose tests are long, and so are units of their own. */
const LONG = [/^packages\/(sim|routesim)\/dist\/[a-z]+\.test\.js$/];
/** Files that count once for all their tests: one unit, begun first. */
const COUNTED = [/^packages\/(sim|routesim)\/dist\/capacity\//];
const any = (list, text) => list.some((p) => p.test(text));

/**
 * Stages, one after the other. Invariants: every test is in one unit; a unit is a file, or part of one; `threads` is
 * what its own runs may use; nothing runs beside a unit of a stage that is alone.
 */
export const Plan = {
  of(found, cores) {
    const wide = [], narrow = new Map(), real = new Map();
    const put = (map, key, t) => map.set(key, [...(map.get(key) ?? []), t]);
    for (const t of found)
      if (any(REAL, t.path)) put(real, t.file, t);
      else if (t.path.startsWith('packages/sim/') && any(WIDE, t.title)) wide.push([t]);
      else put(narrow, any(LONG, t.path) ? `${t.file} ${t.title}` : t.file, t);
    const unit = (threads) => (list) => ({ file: list[0].file, titles: list.map((t) => t.title), threads });
    // The long ones first, so that none is left over at the end.
    const rank = ([t]) => (any(COUNTED, t.path) ? 0 : any(LONG, t.path) ? 1 : 2);
    const rest = [...narrow.values()].sort((a, b) => rank(a) - rank(b));
    return [
      { units: wide.map(unit(cores)), atOnce: 1, alone: false },
      { units: rest.map(unit(1)), atOnce: cores, alone: false },
      { units: [...real.values()].map(unit(cores)), atOnce: 1, alone: true },
    ];
  },
};
