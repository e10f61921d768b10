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
const made = new WeakMap<object, Made>();

/** Checks a value against a schema, once compiled for each schema. */
export const Check = {
  is(form: TSchema, v: unknown): boolean {
    return Check.tool(form).Check(v);
  },
  parse<S extends TSchema>(form: S, v: unknown): Result<NoInfer<Static<S>>, Fault[]> {
    const tool = Check.tool(form);
    if (tool.Check(v)) return Ok(v as NoInfer<Static<S>>);
    const list = [...tool.Errors(v)].filter((e) => e.keyword !== 'additionalProperties').flatMap(plain);
    return Err(list.length > 0 ? list.slice(0, 50) : [{ path: '', why: 'does not fit' }]);
  },
  /** The same, but keys that the schema does not know are left out. */
  lenient<S extends TSchema>(form: S, v: unknown): Result<NoInfer<Static<S>>, Fault[]> {
    const got = Check.parse(form, v);
    return got.ok ? got : Check.parse(form, Check.known(form, v));
  },
  /** The value without keys that the schema does not know. */
  known(form: TSchema, v: unknown): unknown {
    return Check.tool(form).Check(v) ? v : Value.Clean(form, Value.Clone(v));
  },
  tool(form: TSchema): Made {
    const old = made.get(form);
    if (old) return old;
    const tool = Compile(form) as unknown as Made;
    made.set(form, tool);
    return tool;
  },
};
