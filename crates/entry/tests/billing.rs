//! Reading of the stored costs.

use marigold_core::cost::{Account, Line, Total, Worth};
use marigold_entry::billing;
use marigold_objects::memory::MemoryStore;
use marigold_objects::{Expect, Store as _};

fn line(attempts: u64) -> Line {
    let account = Account {
        customer: "members".to_owned(),
        pipeline: "answer".to_owned(),
        stage: "generate".to_owned(),
        target: "t1".to_owned(),
        worth: Worth::Useful,
    };
    Line { account, total: Total { attempts, tokens: 0, micros: 5 * attempts } }
}

/// An object in another form hid the costs of all writers, and its whole text was in the error.
#[tokio::test]
async fn read_all_unreadable_object_is_named_without_its_text() {
    let store = MemoryStore::default();
    let text = serde_json::to_string(&[line(3)]).unwrap();
    store.put("cost", "entry-1.1", text.clone(), Expect::Any).await.unwrap();
    store.put("cost", "entry-2.1", text, Expect::Any).await.unwrap();
    let other_form = serde_json::to_string("a long text that is no list of lines").unwrap();
    store.put("cost", "entry-3.1", other_form, Expect::Any).await.unwrap();
    let costs = billing::read_all(&store).await.unwrap();
    assert_eq!(costs.accounts.sum().attempts, 6);
    let errors: Vec<String> = costs.unreadable.iter().map(ToString::to_string).collect();
    assert_eq!(errors.len(), 1);
    assert!(errors[0].contains("cost/entry-3.1"), "{errors:?}");
    assert!(!errors[0].contains("a long text"), "{errors:?}");
}
