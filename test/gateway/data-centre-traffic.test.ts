import {expect} from 'chai';
import {formatResponse, FrontHarness, type ReceivedRequest} from '../support/front-harness.js';
import {sendRaw} from '../support/raw-http.js';

const REQUEST_BODY = 'five!';
const RESPONSE_BODY = 'an answer';

describe('metrics by pair of data centres', () => {
	let harness: FrontHarness;

	beforeEach(async () => {
		harness = await FrontHarness.start();
		harness.metrics.dataCentres.setKnown('a', ['a', 'b', 'c']);
	});

	afterEach(() => {
		harness.stop();
	});

	function serve({id, socket}: ReceivedRequest): void {
		socket.write(formatResponse(id, RESPONSE_BODY));
	}

	async function post(id: string): Promise<void> {
		const head = `POST /safe/${id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: ${REQUEST_BODY.length}\r\n\r\n`;
		const answer = await sendRaw(harness.address, [head, REQUEST_BODY]);
		expect(answer.status).to.equal(200);
	}

	/** @returns Lines of the metrics that are not 0, in order. */
	async function traffic(): Promise<string[]> {
		const text = await harness.metrics.expose();
		return text.split('\n').filter(line => line.startsWith('redwingspool_data_centre_') && !line.endsWith(' 0'));
	}

	// Guards against traffic that is billed but not shown, or counted twice or in the wrong direction, and against sums that grow with each scrape.
	it('count requests that left and the bytes of both directions', async () => {
		await harness.startUpstream('u1', serve, {dataCentre: 'b'});
		await post('r1');
		await post('r2');
		await traffic();
		expect(await traffic()).to.have.members([
			'redwingspool_data_centre_requests_total{from="a",to="b"} 2',
			`redwingspool_data_centre_bytes_total{from="a",to="b",direction="request"} ${2 * REQUEST_BODY.length}`,
			`redwingspool_data_centre_bytes_total{from="a",to="b",direction="response"} ${2 * RESPONSE_BODY.length}`,
		]);
	});

	// Guards against time series for requests that stay, and an unbounded number of them from the names that upstreams register with.
	it('leave out the own data centre and unknown ones', async () => {
		await harness.startUpstream('u1', serve);
		await post('r1');
		harness.state.replaceUpstreams([harness.upstreams[0]!.toUpstream({id: 'u2', dataCentre: 'nowhere'})]);
		await post('r2');
		expect(await traffic()).to.deep.equal([]);
		expect(await harness.metrics.expose()).not.to.include('nowhere');
	});
});
