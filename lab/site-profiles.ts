/** The users' sites: zones, numbers of machines, delays, services and workloads. */
import { parseServiceRow, type ServiceRow } from '../src/configuration/service-row.js';
import { ValidationError } from '../src/errors/index.js';

/** A service's completions with their mean lengths. */
export interface WorkloadClass {
  readonly service: string;
  /** Mean lengths of prompt and output. Tokens. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A site's topology, services and typical completions. */
export interface SiteProfile {
  readonly name: string;
  readonly zones: readonly string[];
  /** Numbers of model engines and application servers, assigned to the zones round-robin. */
  readonly engines: number;
  readonly applications: number;
  /** One-way delay between zones. Milliseconds. */
  readonly zoneDelayMs: number;
  readonly model: string;
  readonly services: readonly ServiceRow[];
  /** Completions with long prompts and few output tokens, and those with short prompts. */
  readonly longWork: WorkloadClass;
  readonly shortWork: WorkloadClass;
  /**
   * Cost of a role change at this site, in addition to the time that the engine needs for it, in seconds; the only
   * setting in which the sites differ.
   */
  readonly roleChangeCostSeconds: number;
}

function makeService(value: Partial<ServiceRow> & { name: string }): ServiceRow {
  return parseServiceRow(value);
}

const CUNDINAMARCA: SiteProfile = {
  name: 'cundinamarca',
  zones: ['usaquen', 'engativa', 'bosa', 'teusaquillo'],
  engines: 8,
  applications: 4,
  zoneDelayMs: 1.5,
  model: 'underwriting',
  services: [
    makeService({
      name: 'risk-grade',
      model: 'underwriting',
      adapter: 'grading',
      weight: 3,
      priority: 2,
      firstTokenTargetMs: 2500,
      maximumWaitMs: 2000,
    }),
    makeService({
      name: 'crop-eligibility',
      model: 'underwriting',
      weight: 1,
      priority: 1,
      firstTokenTargetMs: 1000,
      maximumWaitMs: 800,
    }),
    makeService({ name: 'payment-notice', kind: 'application', repeatable: false }),
    makeService({ name: 'quote-receipt', kind: 'application', repeatable: false }),
  ],
  longWork: { service: 'risk-grade', promptTokens: 6000, outputTokens: 40 },
  shortWork: { service: 'crop-eligibility', promptTokens: 250, outputTokens: 180 },
  roleChangeCostSeconds: 5,
};

const TRUST_TT_NORTH: SiteProfile = {
  name: 'trust-tt-north',
  zones: ['pos-a', 'chag-b', 'arima-c'],
  engines: 13,
  applications: 3,
  zoneDelayMs: 0.5,
  model: 'quoting',
  services: [
    makeService({
      name: 'policy-review',
      model: 'quoting',
      adapter: 'wording',
      weight: 2,
      priority: 1,
      firstTokenTargetMs: 2500,
      maximumWaitMs: 2000,
    }),
    makeService({
      name: 'eligibility',
      model: 'quoting',
      weight: 1,
      priority: 5,
      firstTokenTargetMs: 1000,
      maximumWaitMs: 800,
    }),
    makeService({ name: 'document-fetch', kind: 'application', repeatable: true }),
    makeService({ name: 'confirmation', kind: 'application', repeatable: false }),
  ],
  longWork: { service: 'policy-review', promptTokens: 4000, outputTokens: 120 },
  shortWork: { service: 'eligibility', promptTokens: 200, outputTokens: 160 },
  roleChangeCostSeconds: 40,
};

/** All sites by name. */
const SITE_PROFILES: Readonly<Record<string, SiteProfile>> = {
  [CUNDINAMARCA.name]: CUNDINAMARCA,
  [TRUST_TT_NORTH.name]: TRUST_TT_NORTH,
};

/**
 * Returns the profile of a site by its name.
 * @throws ValidationError with the names of the known sites.
 */
export function getSiteProfile(name: string): SiteProfile {
  const profile = SITE_PROFILES[name];
  if (!profile) throw new ValidationError('site', `must be one of: ${Object.keys(SITE_PROFILES).join(', ')}`);
  return profile;
}
