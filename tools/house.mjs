// The house checks: file length, one named export a file, our words in declared names, no host or machine path.
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import ts from 'typescript';

const MOST = 250;
// Folders whose wording has been brought to the field's terms: the words of the earlier house style fail there.
const DONE = /^packages\/(forms|purge|registry|router|counter|clerk|client|counterd|registryd)\//;
const WITHDRAWN = {
  ...{ charter: 'configuration', charters: 'configurations', casting: 'stage assignment', slip: 'notice', slips: 'notices' },
  ...{ shelf: 'record store', town: 'backend inventory', deed: 'event', deeds: 'events', diary: 'event log', helm: 'view changer' },
  ...{ lot: 'rendezvous hash', dice: 'random source', chance: 'random source', born: 'incarnation', shun: 'ejection', shuns: 'ejection' },
  ...{ told: 'reported', bent: 'corrupted', meets: 'requires', motor: 'driver', deedlog: 'event log', hail: 'clock probe' },
  ...{ hails: 'clock probes', voice: 'protocol version', sights: 'observations', worry: 'suspicion', certainty: 'confidence' },
  ...{ sink: 'response writer', headline: 'head check-in', heard: 'received', gossipy: 'gossip', mates: 'peers' },
};
// A route was a `rule` in these folders; lending has rules of its own.
const ROUTED_RULES = /^packages\/(?:counter|forms)\/src\/(?!lending)/;
// A name that leaves the process keeps its older word (docs/outward-names.txt), so a property may be named so.
const OUTWARD = new Set(readFileSync('docs/outward-names.txt', 'utf8').split('\n').filter((l) => l !== '' && !l.startsWith('#')));
// Turned round everywhere. A key that others see keeps the old word (docs/clashes.md), so a property may be named so.
const GONE = { bounce: 'refuse', bounces: 'refuses', bounced: 'refused', waitlist: 'queue', gate: 'admission', gated: 'admitted', gating: 'admitting', proxy: 'forward', proxies: 'forwards', proxied: 'forwarded', select: 'choice', selecting: 'choosing', selected: 'chosen', claim: 'lease', claims: 'leases', site: 'zone', sites: 'zones', visit: 'request', visits: 'requests', visiting: 'requesting' };
// Turned round in the older packages; the routed ones have them still.
const ROUTED = /^packages\/(router|routesim)\//;
const OLDER = { startup: 'settings' };
const KEPT = new Set(['waitlist', 'gated', 'startup', 'claim', 'claims', 'site', 'sites', 'visit']);
const faults = [];
let files = 0, lines = 0, proofs = 0, tables = 0;
const words = (s) => s.replace(/([a-z0-9])([A-Z])/g, '$1 $2').split(/[ _-]+/).map((w) => w.toLowerCase());
const check = (path) => {
  const text = readFileSync(path, 'utf8');
  const n = text.split('\n').length - 1;
  files++;
  lines += n;
  if (/packages\/(sim|routesim|yard)\//.test(path)) proofs += n;
  else if (path.endsWith('.test.ts')) tables += n;
  if (n > MOST) faults.push(`${path}: ${n} lines, more than ${MOST}`);
  const src = ts.createSourceFile(path, text, ts.ScriptTarget.ES2023, true);
  const out = new Set();
  const bare = path.endsWith('/index.ts') || path.endsWith('.test.ts') || path.endsWith('/generated.ts');
  const withdrawn = {
    ...GONE,
    ...(ROUTED.test(path) ? {} : OLDER),
    ...(DONE.test(path) ? WITHDRAWN : {}),
    ...(DONE.test(path) && ROUTED_RULES.test(path) ? { rule: 'route', rules: 'routes' } : {}),
  };
  const name = (id) => {
    if (!id || !ts.isIdentifier(id)) return;
    const property = ts.isPropertySignature(id.parent) || ts.isPropertyAssignment(id.parent);
    if (property && (KEPT.has(id.text) || OUTWARD.has(id.text))) return;
    for (const w of words(id.text)) if (Object.hasOwn(withdrawn, w)) faults.push(`${path}:${src.getLineAndCharacterOfPosition(id.pos).line + 1}: '${id.text}' has a withdrawn word, '${w}': the field's term is '${withdrawn[w]}'`);
  };
  const walk = (node) => {
    if ((ts.isVariableDeclaration(node) || ts.isParameter(node) || ts.isPropertySignature(node) || ts.isTypeAliasDeclaration(node)
      || ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node) || ts.isPropertyAssignment(node) || ts.isClassDeclaration(node)) && node.name) name(node.name);
    if (ts.isExportAssignment(node)) faults.push(`${path}: a default export`);
    if (ts.canHaveModifiers(node) && ts.getModifiers(node)?.some((m) => m.kind === ts.SyntaxKind.ExportKeyword)) {
      if (ts.isVariableStatement(node)) for (const d of node.declarationList.declarations) out.add(d.name.getText(src));
      else if (node.name) out.add(node.name.text);
    }
    ts.forEachChild(node, walk);
  };
  walk(src);
  if (!bare && out.size !== 1) faults.push(`${path}: ${out.size} named exports (${[...out].join(', ')}), one is wanted`);
};
const plain = (path) => {
  if (path.endsWith('package-lock.json')) {
    if (/registry\.npm|"resolved": "http/.test(readFileSync(path, 'utf8'))) faults.push(`${path}: names a host`);
    return;
  }
  const text = readFileSync(path, 'utf8');
  if (/registry\.npm|https?:\/\/(?!127\.|x['"/)]|\$|\[)|\/work\/|\/root\/|\/home\/|\/tmp\//.test(text)) faults.push(`${path}: names a host or a machine's path`);
};
const tree = (dir, fn, want) => {
  for (const f of readdirSync(dir)) {
    if (f === 'node_modules' || f === 'dist' || f === 'target' || f === 'journal' || f === '.git' || f.startsWith('.yard')) continue;
    const p = `${dir}/${f}`;
    if (statSync(p).isDirectory()) tree(p, fn, want);
    else if (want.test(f)) fn(p);
  }
};
// The platform's own words stand in platform/ alone: its header prefix, its paths, and every field of a message that
// platform/'s schemas name. They are read from there, so that this file names none of them.
const foreign = new Set();
tree('platform/src', (p) => {
  if (p.endsWith('.test.ts')) return;
  for (const [w] of readFileSync(p, 'utf8').matchAll(/\b[a-z]+(?:_[a-z0-9]+)+\b/g)) foreign.add(w);
}, /\.ts$/);
const theirs = new RegExp(`x-${JSON.parse(readFileSync('package.json', 'utf8')).name}-|\\x2fapi\\x2f|\\b(?:${[...foreign].join('|')})\\b`, 'i');
const own = (path) => {
  if (/^\.\/(platform|docs|deploy)\//.test(path) || path.endsWith('package-lock.json')) return;
  readFileSync(path, 'utf8').split('\n').forEach((line, i) => {
    const word = theirs.exec(line)?.[0];
    if (word) faults.push(`${path}:${i + 1}: '${word}' is the platform's word, and stands in platform/ alone`);
  });
};
tree('.', own, /\.(ts|md|json|mjs)$|^run$/);
tree('packages', check, /\.ts$/);
tree('platform', check, /\.ts$/);
tree('.', plain, /\.(ts|md|json|mjs)$|^\.npmrc$/);
// docs/brief.md names only what is there.
const brief = readFileSync('docs/brief.md', 'utf8');
const drills = ['drills', 'lending'].flatMap((d) => readdirSync(`packages/sim/src/${d}`).map((f) => readFileSync(`packages/sim/src/${d}/${f}`, 'utf8'))).join();
const guards = JSON.parse(readFileSync('packages/sim/guards.json', 'utf8'));
const there = {
  drill: (n) => drills.includes(`name: '${n}'`),
  guard: (n) => guards.some((g) => g.name === n),
  run: (n) => ['explore', 'points'].includes(n),
  test: (n) => existsSync(`packages/${n.replace('/', '/src/')}.test.ts`),
};
for (const [, kind, name] of brief.matchAll(/`(drill|guard|run|test) ([\w/]+)`/g)) {
  if (!there[kind](name)) faults.push(`docs/brief.md: there is no ${kind} ${name}`);
}
for (const g of guards) if (!brief.includes(`\`guard ${g.name}\``)) faults.push(`docs/brief.md: guard ${g.name} is not named`);
for (const f of faults) console.error(f);
const share = Math.round((100 * proofs) / lines);
console.log(`house: ${files} files, ${lines} lines; sim and yard ${proofs} (${share}%), tables of cases ${tables}; ${faults.length} faults`);
process.exit(faults.length > 0 ? 1 : 0);
