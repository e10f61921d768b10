// Lists the names that leave the process, as the sources have them: keys and literal values of schemas, kinds of messages, keys of
// written objects, headers, paths, files, flags, environment, metrics, and string values without a space.
// node tools/outwardnames.mjs [--check | --write]: compares the list with docs/outward-names.txt, or writes it there.
import { readdirSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import ts from 'typescript';

const LIST = 'docs/outward-names.txt';
const HEAD = `# Names that leave the process: on the wire, in stored data and files, in settings, flags and the environment, in metrics, and
# between the simulators and what they run. They are kept letter for letter, also where the code inside has a newer word.
# node tools/outwardnames.mjs --check fails where a name is gone; --write adds new ones. docs/glossary.md explains the older ones.
`;
const SCHEMA = /(^|\.)Type\.(Object|Partial|Record|Composite|Intersect)$/;
const LITERAL = /(^|\.)Type\.(Literal|Union|Enum)$/;
const WRITTEN = /JSON\.stringify$|^(?:t\.)?(?:sink|reply|answer|respond|send)|\.(?:tell|recordEvent|ask|json|send|end|write|info|warn|error)$/;
const OPTIONS = /^(additionalProperties|minimum|maximum|minLength|maxLength|pattern|minItems|maxItems|uniqueItems|default|description|exclusiveMinimum|format|\$id|title)$/;
const GROUPS = ['schema keys', 'literal values of schemas', 'message kinds', 'keys of written objects', 'flags and arguments', 'headers, paths, files, environment', 'names with underscores', 'other string values'];
const groups = new Map(GROUPS.map((g) => [g, new Set()]));
const add = (group, name) => {
  if (name && name.length < 80 && /^[\w./:@$?=&*+~-]+$/.test(name)) groups.get(group).add(name);
};
const sourceFiles = (dir) =>
  readdirSync(dir).sort().flatMap((f) => {
    const path = `${dir}/${f}`;
    if (f === 'node_modules' || f === 'dist') return [];
    if (statSync(path).isDirectory()) return sourceFiles(path);
    return f.endsWith('.ts') && !f.endsWith('.test.ts') && f !== 'generated.ts' ? [path] : [];
  });
const groupOf = (text, inLiteral) => {
  if (inLiteral) return 'literal values of schemas';
  if (/^[a-z]+\.[a-z]+$/.test(text) && !/\.(json|toml|log|js|ts|mjs)$/.test(text)) return 'message kinds';
  if (/^\/|^x-|\.(json|toml|js|log|list|csv|svg|md|mjs)$|^[A-Z][A-Z_]+$|^content-|^[a-z]+-[a-z-]+$/.test(text)) return 'headers, paths, files, environment';
  return /^[a-z]+(_[a-z0-9]+)+$/.test(text) ? 'names with underscores' : 'other string values';
};
const readNames = (path) => {
  const src = ts.createSourceFile(path, readFileSync(path, 'utf8'), ts.ScriptTarget.ES2023, true);
  const within = (node, callee) => {
    for (let p = node.parent; p; p = p.parent) if (ts.isCallExpression(p) && callee.test(p.expression.getText(src))) return true;
    return false;
  };
  const nameOf = (node) => node.name?.text ?? node.name?.getText(src);
  const walk = (node) => {
    if (ts.isPropertyAssignment(node) || ts.isShorthandPropertyAssignment(node)) {
      const key = nameOf(node);
      if (within(node, SCHEMA) && !OPTIONS.test(key)) add('schema keys', key);
      else if (within(node, WRITTEN)) add('keys of written objects', key);
    }
    if (ts.isPropertyDeclaration(node) && /^(flags|args)$/.test(nameOf(node)) && node.initializer && ts.isObjectLiteralExpression(node.initializer)) {
      for (const p of node.initializer.properties) add('flags and arguments', nameOf(p));
    }
    if (ts.isPropertyAccessExpression(node) && node.expression.getText(src) === 'process.env') add('headers, paths, files, environment', node.name.text);
    const moduleName = ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent);
    if (ts.isStringLiteralLike(node) && !moduleName && /[A-Za-z]/.test(node.text)) add(groupOf(node.text, within(node, LITERAL)), node.text);
    ts.forEachChild(node, walk);
  };
  ts.forEachChild(src, walk);
};
for (const path of [...sourceFiles('packages'), ...sourceFiles('platform')]) readNames(path);
const listed = new Set(readFileSync(LIST, 'utf8').split('\n').filter((l) => l !== '' && !l.startsWith('#')));
const found = new Set([...groups.values()].flatMap((g) => [...g]));
const gone = [...listed].filter((name) => !found.has(name));
if (process.argv.includes('--write')) {
  const sections = GROUPS.map((g) => `\n# ${g}\n${[...groups.get(g)].sort().join('\n')}\n`);
  writeFileSync(LIST, HEAD + sections.join(''));
} else {
  for (const name of gone) console.error(`${LIST}: '${name}' no longer occurs in the sources`);
  console.log(`outward names: ${listed.size} listed, ${found.size} found, ${gone.length} gone`);
  process.exitCode = gone.length > 0 ? 1 : 0;
}
