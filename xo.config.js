/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'src/**/generated/**', 'node_modules/**']},
	{
		rules: {
			// The house style keeps these four short names; other abbreviations stay refused.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					req: true, res: true, cfg: true, err: true,
				},
				// Names of the field: the `dev` command, the process environment, zod's check context.
				replacements: {dev: false, env: false, ctx: false},
			}],
			'unicorn/catch-error-name': 'off',
		},
	},
	{
		files: '**/*.ts',
		rules: {
			// Protocol members such as `max_tokens` keep their published names.
			'@typescript-eslint/naming-convention': 'off',
			// Constant objects share the name of their type, in place of enums.
			'@typescript-eslint/no-redeclare': 'off',
			// Decorators are called without `new`.
			'new-cap': ['error', {capIsNew: false}],
			// Constructors assign what `create` gives them; only injected classes use parameter properties.
			'@typescript-eslint/parameter-properties': 'off',
			// Nest's modules and controllers are classes by design.
			'@typescript-eslint/no-extraneous-class': 'off',
		},
	},
	{
		files: ['src/**/*.ts', 'platform/**/*.ts'],
		rules: {
			// A promise that nobody awaits needs an owner; `void` is none.
			'@typescript-eslint/no-floating-promises': ['error', {
				ignoreVoid: false,
				allowForKnownSafePromises: [{from: 'package', package: 'fastify', name: 'FastifyReply'}],
			}],
		},
	},
	{
		files: ['examples/library/**'],
		rules: {
			// Sub-paths of the package have no extension.
			'import-x/extensions': 'off',
		},
	},
	{
		files: ['src/cli/**', 'src/main.ts', 'platform/program.ts', 'bench/**', 'scripts/**', 'soak/processes.ts', 'standins/*-main.ts'],
		rules: {
			// Commands end the process with their exit status.
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
