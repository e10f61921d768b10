import { type Static, type TSchema } from 'typebox';
import { Compile } from 'typebox/compile';
import { Value } from 'typebox/value';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

type Told = { instancePath: string; message: string; keyword: string; params?: { requiredProperties?: string[] } };
type Made = { Check(v: unknown): boolean; Errors(v: unknown): Iterable<Told> };
const plain = (e: Told): Fault[] => {
  if (e.keyword === 'required')
    return (e.params?.requiredProperties ?? []).map((n) => ({ path: `${e.instancePath}/${n}`, why: 'is missing' }));
  return [{ path: e.instancePath, why: e.keyword === 'boolean' ? 'is not known' : e.message }];
};
type Tool = { made: Made; uses: number };
const tools = new WeakMap<object, Tool>();
/** The check with which a schema is compiled: that takes as long as some twenty checks without. */
const OFTEN = 4;
const plainly = (form: TSchema): Made => ({
  Check: (v) => Value.Check(form, v),
  Errors: (v) => Value.Errors(form, v) as Iterable<Told>,
});

/** Checks a value against a schema. Invariant: a schema is compiled once, and only if it is used often. */
export const Check = {
  is(form: TSchema, v: unknown): boolean {
    return Check.tool(form).Check(v);
  },
  parse<S extends TSchema>(form: S, v: unknown): Result<Static<S>, Fault[]> {
    const tool = Check.tool(form);
    if (tool.Check(v)) return Ok(v as Static<S>);
    const list = [...tool.Errors(v)].filter((e) => e.keyword !== 'additionalProperties').flatMap(plain);
    return Err(list.length > 0 ? list.slice(0, 50) : [{ path: '', why: 'does not fit' }]);
  },
  /** The same, but keys that the schema does not know are left out. */
  lenient<S extends TSchema>(form: S, v: unknown): Result<Static<S>, Fault[]> {
    const got = Check.parse(form, v);
    return got.ok ? got : Check.parse(form, Check.known(form, v));
  },
  /** The value without keys that the schema does not know. */
  known(form: TSchema, v: unknown): unknown {
    return Check.tool(form).Check(v) ? v : Value.Clean(form, Value.Clone(v));
  },
  tool(form: TSchema): Made {
    const tool = tools.get(form) ?? { made: plainly(form), uses: 0 };
    tools.set(form, tool);
    tool.uses++;
    if (tool.uses === OFTEN) tool.made = Compile(form) as unknown as Made;
    return tool.made;
  },
};
