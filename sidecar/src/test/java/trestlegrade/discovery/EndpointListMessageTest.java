package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A malformed message is requested again, but its entries are applied if they are readable, because one of them may say
 * that an endpoint drains. A message that does not say whether it is a snapshot must not remove the endpoints that it
 * leaves out.
 */
class EndpointListMessageTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'index':8,'snapshot':true,'endpoints':[{}]}  | true  | true  | ",
                "{'index':8,'endpoints':[{}]}                  | false | true  | ",
                "{'index':'8','snapshot':true,'endpoints':[]}  | true  | true  | index: must be a number",
                "{'snapshot':'yes','endpoints':[]}             | false | true  | index: must be a number",
                "{'index':8,'snapshot':'yes','endpoints':[]}   | false | true  | snapshot: must be true or false",
                "{'index':8,'snapshot':true,'endpoints':{}}    | true  | false | endpoints: must be an array",
                "{'index':8}                                   | false | false | endpoints: must be an array",
            })
    void faultsNameTheField(String json, boolean snapshot, boolean usable, String fault) {
        EndpointListMessage message = EndpointListMessage.of(new JsonObject(json.replace('\'', '"')));
        assertEquals(snapshot, message.snapshot());
        assertEquals(usable, message.entries() != null);
        assertEquals(fault, message.fault());
        if (fault == null) {
            assertEquals(8, message.version());
        }
    }
}
