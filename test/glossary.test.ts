/** Checks that the paths, names and terms of the glossary exist in the repository and its source code. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

function readSources(): string {
  const entries = readdirSync(join(ROOT, 'src'), { recursive: true, withFileTypes: true });
  const files = entries.filter((entry) => entry.isFile() && entry.name.endsWith('.ts'));
  return files.map((entry) => readFileSync(join(entry.parentPath, entry.name), 'utf8')).join('\n');
}

/** Splits a text into words, including those in identifiers: `kvFollower` has kv and follower. */
function splitWords(text: string): Set<string> {
  const spaced = text.replace(/([a-z0-9])([A-Z])/g, '$1 $2').toLowerCase();
  return new Set(spaced.split(/[^a-z0-9]+/));
}

describe('glossary', () => {
  const glossary = readFileSync(join(ROOT, 'docs/GLOSSARY.md'), 'utf8');
  const sources = readSources();

  it('each path and each name written as code exists', () => {
    const named = [...glossary.matchAll(/`([^`]+)`/g)].map(([, text]) => text.replace(/:.*$/, ''));
    const missing = named.filter((text) =>
      text.includes('/') ? !existsSync(join(ROOT, text)) : !new RegExp(`\\b${text}\\b`).test(sources),
    );
    expect(missing).to.deep.equal([]);
  });

  it('each term occurs in the source code', () => {
    const words = splitWords(sources);
    const terms = [...glossary.matchAll(/\*\*([^*]+)\*\*/g)].map(([, term]) => term);
    const unused = terms.filter(
      (term) => ![...splitWords(term)].every((word) => words.has(word) || words.has(`${word}s`)),
    );
    expect(unused).to.deep.equal([]);
    expect(terms.length).to.be.greaterThan(20);
  });
});
